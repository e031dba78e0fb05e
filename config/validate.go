package config

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/sesamelift/sesamelift/api"
)

// Limits of the fields.
const (
	// MaxDeadlineMS is the longest deadline of a job, in milliseconds.
	MaxDeadlineMS = int64(api.MaxDeadline / 1e6)
	// MaxQuota bounds the tasks in progress of a team. The whole fleet of 890
	// workers has 7,120 slots, so that a larger quota is a slip of the pen.
	MaxQuota = 1_000_000
	// MaxWeight keeps the shares of teams comparable.
	MaxWeight = 100
)

// Names are those that the settings allow, so that a worker in the sheet can
// have the name of an agent.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// NameRule says in words what a name may be.
const NameRule = "1 to 63 of a-z, 0-9, dot, dash and underscore, beginning with a letter or digit"

// ValidName reports whether s can name a service, type, team or worker.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Kind is a section of the configuration.
type Kind string

// Kinds.
const (
	KindService Kind = "service"
	KindTeam    Kind = "team"
	KindWorker  Kind = "worker"
)

// Fault is one thing wrong with a configuration.
type Fault struct {
	// Kind and Index say which service, team or worker; Index is -1 when the
	// fault is of the whole. Type is the index of the request type or -1.
	Kind  Kind
	Index int
	Type  int
	Field string
	Value string
	// Message says what is allowed.
	Message string
	// Known holds the valid words where there is a list of them.
	Known []string
}

// Error implements error.
func (f Fault) Error() string {
	at := string(f.Kind)
	if f.Index >= 0 {
		at += " " + strconv.Itoa(f.Index+1)
	}
	if f.Type >= 0 {
		at += ", type " + strconv.Itoa(f.Type+1)
	}
	return fmt.Sprintf("%s: %s %q: %s", at, f.Field, f.Value, f.Message)
}

// Faults holds all faults of a configuration. It implements error.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Validate returns every fault of the configuration.
func (c *Config) Validate() Faults {
	v := validator{}
	v.services(c.Services)
	v.teams(c.Teams)
	v.workers(c)
	return v.faults
}

type validator struct{ faults Faults }

func (v *validator) add(at Fault, field, value, message string) {
	at.Field, at.Value, at.Message = field, value, message
	v.faults = append(v.faults, at)
}

func (v *validator) some(kind Kind, n int) {
	if n == 0 {
		v.add(Fault{Kind: kind, Index: -1, Type: -1}, "kind", "", "at least one "+string(kind)+" is required")
	}
}

// name checks a name and that it is the only one of its list.
func (v *validator) name(at Fault, field, name string, seen map[string]bool) {
	switch {
	case !ValidName(name):
		v.add(at, field, name, "allowed is "+NameRule)
	case seen[name]:
		v.add(at, field, name, "is given twice")
	}
	seen[name] = true
}

func (v *validator) between(at Fault, field string, n, low, high int64) {
	if n < low || n > high {
		v.add(at, field, strconv.FormatInt(n, 10), fmt.Sprintf("allowed is %d to %d", low, high))
	}
}

func (v *validator) services(services []Service) {
	v.some(KindService, len(services))
	seen := map[string]bool{}
	for i, s := range services {
		at := Fault{Kind: KindService, Index: i, Type: -1}
		v.name(at, "service", s.Name, seen)
		if len(s.Types) == 0 {
			v.add(at, "type", "", "at least one request type is required")
		}
		types := map[string]bool{}
		for j, t := range s.Types {
			at.Type = j
			v.name(at, "type", t.Name, types)
			v.between(at, "deadline_ms", t.DeadlineMS, 1, MaxDeadlineMS)
		}
	}
}

func (v *validator) teams(teams []Team) {
	v.some(KindTeam, len(teams))
	seen := map[string]bool{}
	for i, t := range teams {
		at := Fault{Kind: KindTeam, Index: i, Type: -1}
		v.name(at, "team", t.Name, seen)
		v.between(at, "quota", int64(t.Quota), 1, MaxQuota)
		v.between(at, "weight", int64(t.Weight), 1, MaxWeight)
	}
}

func (v *validator) workers(c *Config) {
	v.some(KindWorker, len(c.Workers))
	var known []string
	for _, s := range c.Services {
		known = append(known, s.Name)
	}
	seen := map[string]bool{}
	for i, w := range c.Workers {
		at := Fault{Kind: KindWorker, Index: i, Type: -1}
		v.name(at, "worker", w.Name, seen)
		if len(w.Services) == 0 {
			v.add(at, "services", "", "at least one service is required")
		}
		own := map[string]bool{}
		for _, s := range w.Services {
			if own[s] {
				v.add(at, "services", s, "is given twice")
			} else if _, ok := c.Service(s); !ok {
				unknown := at
				unknown.Known = known
				v.add(unknown, "services", s, "is not a service of this configuration")
			}
			own[s] = true
		}
	}
}
