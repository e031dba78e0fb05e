// Package ledger is a placeholder until the package of branch safety is merged.
package ledger

import (
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

// Options bounds a Ledger.
type Options struct{ MaxRecords, MaxResultBytes int }

// Decision is Run, a known state, or a refusal.
type Decision struct {
	Run     bool
	State   wire.State
	Result  *wire.Result
	Refusal string
}

type id struct {
	key  wire.Key
	task uint16
}

type record struct {
	owner, digest uint64
	state         wire.State
	result        wire.Result
}

// Ledger holds started tasks.
type Ledger struct {
	self    uint64
	version uint64
	members []uint64
	records map[id]*record
}

// New returns an empty ledger.
func New(self uint64, _ Options) *Ledger { return &Ledger{self: self, records: map[id]*record{}} }

// AdoptRoster adopts a roster.
func (l *Ledger) AdoptRoster(version uint64, members []uint64) bool {
	if version < l.version {
		return false
	}
	l.version, l.members = version, members
	return true
}

// Check decides on a start without recording it.
func (l *Ledger) Check(now time.Time, s *wire.Start) Decision {
	r := l.records[id{s.Key, s.Task}]
	switch {
	case api.Key(s.Key).Expired(now):
		return Decision{Refusal: "expired"}
	case r != nil && r.state == wire.StateClosed:
		return Decision{State: r.state, Refusal: "closed"}
	case r != nil && r.state == wire.StateFinished:
		return Decision{State: r.state, Result: &r.result}
	case r != nil:
		return Decision{State: r.state}
	case s.Agent != l.self:
		return Decision{Refusal: "other incarnation"}
	case !slices.Contains(l.members, s.Owner):
		return Decision{Refusal: "not in roster"}
	}
	return Decision{Run: true}
}

// Start records a start.
func (l *Ledger) Start(now time.Time, s *wire.Start) Decision {
	d := l.Check(now, s)
	if d.Run {
		l.records[id{s.Key, s.Task}] = &record{owner: s.Owner, digest: s.Digest, state: wire.StateRunning}
	}
	return d
}

// Finish records a result.
func (l *Ledger) Finish(k wire.Key, task uint16, r wire.Result) {
	if e := l.records[id{k, task}]; e != nil {
		e.state, e.result = wire.StateFinished, r
	}
}

// Settle closes what has not started.
func (l *Ledger) Settle(_ time.Time, k wire.Key, task uint16) wire.Settled {
	r := l.records[id{k, task}]
	if r == nil {
		r = &record{state: wire.StateClosed}
		l.records[id{k, task}] = r
	}
	return wire.Settled{Key: k, Task: task, State: r.state, Digest: r.digest, Result: r.result}
}

// Records returns the records of an incarnation.
func (l *Ledger) Records(incarnation uint64, owned func(api.Key) bool) []wire.Record {
	var out []wire.Record
	for i, r := range l.records {
		if r.owner == incarnation && owned(api.Key(i.key)) {
			out = append(out, wire.Record{Key: i.key, Task: i.task, Digest: r.digest, State: r.state})
		}
	}
	return out
}

// Expire forgets expired keys.
func (l *Ledger) Expire(time.Time) {}
