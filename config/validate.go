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
	// workers has 7,120 slots, so that a larger quota is most likely a typing error.
	MaxQuota = 1_000_000
	// MaxWeight bounds the ratio between the shares of two teams.
	MaxWeight = 100
)

// namePattern is the pattern of names in the settings, so that a worker in the
// sheet can have the name of its agent.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// NameRule describes the allowed names in messages.
const NameRule = "1 to 63 of a-z, 0-9, dot, dash and underscore, beginning with a letter or digit"

// ValidName reports whether s can name a service, type, team, worker or zone.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Kind is a section of the configuration.
type Kind string

// Kinds.
const (
	KindService Kind = "service"
	KindTeam    Kind = "team"
	KindWorker  Kind = "worker"
	KindZone    Kind = "zone"
)

// Fault is one error in a configuration.
type Fault struct {
	// Kind and Index identify the service, team, worker or zone; Index is -1 when the
	// fault concerns the whole list. Type is the index of the request type or -1.
	Kind  Kind
	Index int
	Type  int
	Field string
	Value string
	// Message says what is wrong or allowed.
	Message string
	// Known holds the valid values if they can be listed.
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

// Faults holds all faults of a configuration. Its message has one line for each.
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
	v.checkServices(c.Services)
	v.checkTeams(c.Teams)
	v.checkWorkers(c)
	v.checkEvacuatedZones(c.EvacuatedZones)
	return v.faults
}

type validator struct{ faults Faults }

func (v *validator) addFault(at Fault, field, value, message string) {
	at.Field, at.Value, at.Message = field, value, message
	v.faults = append(v.faults, at)
}

func (v *validator) requireAny(kind Kind, n int) {
	if n == 0 {
		v.addFault(Fault{Kind: kind, Index: -1, Type: -1}, "kind", "", "at least one "+string(kind)+" is required")
	}
}

// checkName checks that a name is valid and occurs only once in its list.
func (v *validator) checkName(at Fault, field, name string, seen map[string]bool) {
	switch {
	case !ValidName(name):
		v.addFault(at, field, name, "allowed is "+NameRule)
	case seen[name]:
		v.addFault(at, field, name, "is given twice")
	}
	seen[name] = true
}

func (v *validator) checkRange(at Fault, field string, n, low, high int64) {
	if n < low || n > high {
		v.addFault(at, field, strconv.FormatInt(n, 10), fmt.Sprintf("allowed is %d to %d", low, high))
	}
}

func (v *validator) checkServices(services []Service) {
	v.requireAny(KindService, len(services))
	seen := map[string]bool{}
	for i, s := range services {
		at := Fault{Kind: KindService, Index: i, Type: -1}
		v.checkName(at, "service", s.Name, seen)
		if len(s.Types) == 0 {
			v.addFault(at, "type", "", "at least one request type is required")
		}
		types := map[string]bool{}
		for j, t := range s.Types {
			at.Type = j
			v.checkName(at, "type", t.Name, types)
			v.checkRange(at, "deadline_ms", t.DeadlineMS, 1, MaxDeadlineMS)
		}
	}
}

func (v *validator) checkTeams(teams []Team) {
	v.requireAny(KindTeam, len(teams))
	seen := map[string]bool{}
	for i, t := range teams {
		at := Fault{Kind: KindTeam, Index: i, Type: -1}
		v.checkName(at, "team", t.Name, seen)
		v.checkRange(at, "quota", int64(t.Quota), 1, MaxQuota)
		v.checkRange(at, "weight", int64(t.Weight), 1, MaxWeight)
	}
}

func (v *validator) checkEvacuatedZones(zones []string) {
	seen := map[string]bool{}
	for i, z := range zones {
		v.checkName(Fault{Kind: KindZone, Index: i, Type: -1}, "evacuated_zones", z, seen)
	}
}

func (v *validator) checkWorkers(c *Config) {
	v.requireAny(KindWorker, len(c.Workers))
	var known []string
	for _, s := range c.Services {
		known = append(known, s.Name)
	}
	seen := map[string]bool{}
	for i, w := range c.Workers {
		at := Fault{Kind: KindWorker, Index: i, Type: -1}
		v.checkName(at, "worker", w.Name, seen)
		if len(w.Services) == 0 {
			v.addFault(at, "services", "", "at least one service is required")
		}
		listed := map[string]bool{}
		for _, s := range w.Services {
			if listed[s] {
				v.addFault(at, "services", s, "is given twice")
			} else if _, ok := c.Service(s); !ok {
				unknown := at
				unknown.Known = known
				v.addFault(unknown, "services", s, "is not a service of this configuration")
			}
			listed[s] = true
		}
	}
}
