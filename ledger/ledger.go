package ledger

import (
	"encoding/binary"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

// WholeKey is the task number of a tombstone that closes a key as a whole, so that
// none of its tasks may start. The numbers of tasks are below api.MaxTasks.
const WholeKey uint16 = 0xffff

// tombstoneDivisor sets how many tombstones a ledger holds beyond MaxRecords, which
// is MaxRecords/tombstoneDivisor. A ledger that is full and refuses starts can
// still close tasks with them.
const tombstoneDivisor = 8

// Reasons for a refusal, as given in Decision.Refusal.
const (
	RefusedExpired     = "the key has expired"
	RefusedIncarnation = "the start is addressed to another incarnation of the agent"
	RefusedNotMember   = "the owner is not in the newest roster"
	RefusedDigest      = "the task was started with another job digest"
	RefusedFull        = "the ledger is full"
	RefusedClosed      = "the key is closed"
)

// Options holds the memory limits of a ledger.
type Options struct {
	// MaxRecords is the number of records at which further starts are refused. A
	// record is kept until its key expires, 5.5 min after the key was created.
	MaxRecords int
	// MaxResultBytes bounds the memory of the stored results in bytes, including a
	// fixed overhead for each result. Beyond it the oldest results are dropped.
	MaxResultBytes int
}

// Decision is the result of Check and Start: permission to run, the state of an
// earlier start, or a refusal. State is also set in a refusal with RefusedDigest or
// RefusedClosed.
type Decision struct {
	Run     bool
	State   wire.State
	Result  *wire.Result
	Refusal string
}

// taskID identifies a task and its record.
type taskID struct {
	key  wire.Key
	task uint16
}

// record is the state of a task. The integers are stored as byte arrays, because
// uint64 fields would add alignment padding to each record in a map.
type record struct {
	digest [8]byte
	owner  [8]byte // incarnation of the entry; zero for a tombstone
	state  wire.State
}

// Ledger records the tasks that one agent incarnation has started or closed.
type Ledger struct {
	self    uint64
	options Options
	now     time.Time // never decreases

	version uint64
	members map[uint64]struct{}

	// records are grouped by the second in which their keys expire, so that expiry
	// does not scan all records.
	records map[int64]map[taskID]record
	count   int

	results     map[taskID]wire.Result
	resultOrder []taskID // in the order of arrival
	resultBytes int
}

// New returns the empty ledger of the agent incarnation self. It refuses all
// starts until a roster is adopted.
func New(self uint64, o Options) *Ledger {
	return &Ledger{self: self, options: o, records: map[int64]map[taskID]record{}, results: map[taskID]wire.Result{}}
}

// AdoptRoster sets the members of a newer roster. All other incarnations are
// fenced from then on. It returns false and changes nothing for an older version
// and for version 0, and returns true for the version in use.
func (l *Ledger) AdoptRoster(version uint64, members []uint64) bool {
	if version <= l.version {
		return version == l.version && version != 0
	}
	l.version = version
	l.members = make(map[uint64]struct{}, len(members))
	for _, m := range members {
		l.members[m] = struct{}{}
	}
	return true
}

// RosterVersion returns the version of the newest roster, or 0 if there is none.
func (l *Ledger) RosterVersion() uint64 { return l.version }

// Check decides whether a start may run, without recording it. It is called when
// the start arrives, so that Settle can still close a start that waits for a slot.
func (l *Ledger) Check(now time.Time, s *wire.Start) Decision {
	l.advanceClock(now)
	if api.Key(s.Key).Expired(l.now) {
		return Decision{Refusal: RefusedExpired}
	}
	if s.Agent != l.self {
		return Decision{Refusal: RefusedIncarnation}
	}
	if r, ok := l.find(taskID{s.Key, s.Task}); ok {
		return l.repeatedStart(taskID{s.Key, s.Task}, r, s.Digest)
	}
	if !l.isMember(s.Owner) {
		return Decision{Refusal: RefusedNotMember}
	}
	if _, ok := l.find(taskID{s.Key, WholeKey}); ok {
		return Decision{State: wire.StateClosed, Refusal: RefusedClosed}
	}
	if l.count >= l.options.MaxRecords {
		return Decision{Refusal: RefusedFull}
	}
	return Decision{Run: true}
}

// Start decides whether a start may run and, if so, records it. It is called right
// before the request to the backend server.
func (l *Ledger) Start(now time.Time, s *wire.Start) Decision {
	d := l.Check(now, s)
	if d.Run {
		r := record{state: wire.StateRunning}
		binary.LittleEndian.PutUint64(r.digest[:], s.Digest)
		binary.LittleEndian.PutUint64(r.owner[:], s.Owner)
		l.put(taskID{s.Key, s.Task}, r)
	}
	return d
}

// repeatedStart returns the decision for a start of a task that has a record.
func (l *Ledger) repeatedStart(id taskID, r record, digest uint64) Decision {
	if r.state != wire.StateClosed && binary.LittleEndian.Uint64(r.digest[:]) != digest {
		return Decision{State: r.state, Refusal: RefusedDigest}
	}
	d := Decision{State: r.state}
	if res, ok := l.results[id]; ok {
		d.Result = &res
	}
	return d
}

// Finish records the result of a running task. Later results of the task are
// ignored.
func (l *Ledger) Finish(k wire.Key, task uint16, r wire.Result) {
	id := taskID{k, task}
	rec, ok := l.find(id)
	if !ok || rec.state != wire.StateRunning {
		return
	}
	rec.state = wire.StateFinished
	l.bucket(k)[id] = rec
	l.storeResult(id, r)
}

// Settle returns the state of a task. A task that has not started is first closed
// permanently by a tombstone. State 0 means that the state is unknown, because the
// key has expired or there is no space for a tombstone.
func (l *Ledger) Settle(now time.Time, k wire.Key, task uint16) wire.Settled {
	l.advanceClock(now)
	id := taskID{k, task}
	s := wire.Settled{Key: k, Task: task}
	if api.Key(k).Expired(l.now) {
		return s
	}
	r, ok := l.find(id)
	if !ok {
		if !l.putTombstone(id) {
			return s
		}
		r.state = wire.StateClosed
	}
	s.State, s.Digest = r.state, binary.LittleEndian.Uint64(r.digest[:])
	if res, ok := l.results[id]; ok {
		s.Result = res
	}
	return s
}

// Close closes a key as a whole for its owner, so that no further task of it may
// start at this agent. If no task of the job has run, the owner may then answer that
// the job did not run, since a later owner of the key receives the tombstone in the
// answer to its fence and starts nothing. State 0 means that nothing was closed,
// because the owner is not in the newest roster, the key has expired or there is no
// space for a tombstone.
func (l *Ledger) Close(now time.Time, owner uint64, k wire.Key) wire.Settled {
	if !l.isMember(owner) {
		return wire.Settled{Key: k, Task: WholeKey}
	}
	return l.Settle(now, k, WholeKey)
}

// Records returns the records of the tasks that the entry incarnation has started
// and of all closed keys, limited to keys for which owned returns true.
func (l *Ledger) Records(incarnation uint64, owned func(api.Key) bool) []wire.Record {
	var owner [8]byte
	binary.LittleEndian.PutUint64(owner[:], incarnation)
	var out []wire.Record
	for _, m := range l.records {
		for id, r := range m {
			if (r.owner == owner || id.task == WholeKey) && owned(api.Key(id.key)) {
				out = append(out, wire.Record{Key: id.key, Task: id.task, Digest: binary.LittleEndian.Uint64(r.digest[:]), State: r.state})
			}
		}
	}
	return out
}

// Expire deletes the records of expired keys. It should be called about once a
// second.
func (l *Ledger) Expire(now time.Time) {
	l.advanceClock(now)
	for second, m := range l.records {
		if l.now.Unix() <= second {
			continue
		}
		for id := range m {
			l.dropResult(id)
		}
		l.count -= len(m)
		delete(l.records, second)
	}
	l.trimResultOrder()
}

// Len returns the number of records.
func (l *Ledger) Len() int { return l.count }

// advanceClock sets the time to now unless that would move it back, so that a
// key that was refused or deleted as expired stays expired. The monotonic clock
// reading is removed, because comparisons that use it ignore a step of the wall
// clock.
func (l *Ledger) advanceClock(now time.Time) {
	if now = now.Round(0); now.After(l.now) {
		l.now = now
	}
}

func (l *Ledger) isMember(owner uint64) bool {
	_, ok := l.members[owner]
	return ok
}

// bucket returns the records whose keys expire in the same second as k.
func (l *Ledger) bucket(k wire.Key) map[taskID]record { return l.records[api.Key(k).Expires().Unix()] }

func (l *Ledger) find(id taskID) (record, bool) {
	r, ok := l.bucket(id.key)[id]
	return r, ok
}

func (l *Ledger) put(id taskID, r record) {
	second := api.Key(id.key).Expires().Unix()
	m := l.records[second]
	if m == nil {
		m = map[taskID]record{}
		l.records[second] = m
	}
	m[id] = r
	l.count++
}

// putTombstone closes a task, or a key if the task is WholeKey. It returns false if
// there is no space.
func (l *Ledger) putTombstone(id taskID) bool {
	if l.count >= l.options.MaxRecords+l.options.MaxRecords/tombstoneDivisor {
		return false
	}
	l.put(id, record{state: wire.StateClosed})
	return true
}
