package ledger

import (
	"encoding/binary"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

// WholeJob is the task number of a tombstone that closes a key as a whole. Task
// numbers of a job are below api.MaxTasks.
const WholeJob uint16 = 0xffff

// tombstoneShare is the part of MaxRecords that is reserved, on top of it, for
// tombstones, so that a ledger that refuses starts can still settle them.
const tombstoneShare = 8

// Reasons for a refusal.
const (
	RefusedExpired = "the key has expired"
	RefusedAgent   = "the start is addressed to another incarnation of the agent"
	RefusedOwner   = "the owner is not in the newest roster"
	RefusedDigest  = "the task was started with another job digest"
	RefusedFull    = "the ledger is full"
	RefusedClosed  = "the key is closed"
)

// Options bounds the memory of a ledger.
type Options struct {
	// MaxRecords is the number of records from which starts are refused. A
	// record lives until its key has expired, up to 5.5 min.
	MaxRecords int
	// MaxResultBytes bounds the bodies of the kept results, in bytes. Beyond it
	// the oldest results are dropped.
	MaxResultBytes int
}

// Decision answers Check and Start: Run, or the state of an earlier start, or a
// refusal. State is set next to a refusal when there is a record of the task.
type Decision struct {
	Run     bool
	State   wire.State
	Result  *wire.Result
	Refusal string
}

// id identifies a record.
type id struct {
	key  wire.Key
	task uint16
}

// record is stored in byte arrays, which have no alignment padding in a map.
type record struct {
	digest [8]byte
	owner  [8]byte // incarnation; zero for tombstones without a start
	state  wire.State
}

// kept is a result that has not been dropped, in the order of arrival.
type kept struct {
	id   id
	size int
}

// Ledger is the memory of one agent incarnation.
type Ledger struct {
	self    uint64
	options Options
	now     time.Time // never steps back

	version uint64
	members map[uint64]struct{}

	// records are grouped by the second in which their keys expire, so that they
	// expire without a scan.
	records map[int64]map[id]record
	count   int

	results     map[id]wire.Result
	resultOrder []kept
	resultBytes int
}

// New returns the empty ledger of the agent incarnation self. It refuses all
// starts until a roster is adopted.
func New(self uint64, o Options) *Ledger {
	return &Ledger{self: self, options: o, records: map[int64]map[id]record{}, results: map[id]wire.Result{}}
}

// AdoptRoster takes the members of a newer roster; all other incarnations are
// fenced from now on. It returns false and changes nothing for an older version.
// It returns true for the version in use.
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

// RosterVersion returns the version of the newest roster, 0 for none.
func (l *Ledger) RosterVersion() uint64 { return l.version }

// Check decides on a start when it arrives. It records nothing, so that a start
// that waits for a slot can still be closed by Settle.
func (l *Ledger) Check(now time.Time, s *wire.Start) Decision {
	l.advance(now)
	if api.Key(s.Key).Expired(l.now) {
		return Decision{Refusal: RefusedExpired}
	}
	if s.Agent != l.self {
		return Decision{Refusal: RefusedAgent}
	}
	if r, ok := l.find(id{s.Key, s.Task}); ok {
		return l.known(id{s.Key, s.Task}, r, s.Digest)
	}
	if !l.member(s.Owner) {
		return Decision{Refusal: RefusedOwner}
	}
	if _, ok := l.find(id{s.Key, WholeJob}); ok {
		return Decision{State: wire.StateClosed, Refusal: RefusedClosed}
	}
	if l.count >= l.options.MaxRecords {
		return Decision{Refusal: RefusedFull}
	}
	return Decision{Run: true}
}

// Start decides on a start right before the call to the backend server and
// records it when it may run.
func (l *Ledger) Start(now time.Time, s *wire.Start) Decision {
	d := l.Check(now, s)
	if d.Run {
		r := record{state: wire.StateRunning}
		binary.LittleEndian.PutUint64(r.digest[:], s.Digest)
		binary.LittleEndian.PutUint64(r.owner[:], s.Owner)
		l.put(id{s.Key, s.Task}, r)
	}
	return d
}

func (l *Ledger) known(i id, r record, digest uint64) Decision {
	if r.state != wire.StateClosed && binary.LittleEndian.Uint64(r.digest[:]) != digest {
		return Decision{State: r.state, Refusal: RefusedDigest}
	}
	d := Decision{State: r.state}
	if res, ok := l.results[i]; ok {
		d.Result = &res
	}
	return d
}

// Finish records the result of a running task. Only the first result counts.
func (l *Ledger) Finish(k wire.Key, task uint16, r wire.Result) {
	i := id{k, task}
	rec, ok := l.find(i)
	if !ok || rec.state != wire.StateRunning {
		return
	}
	rec.state = wire.StateFinished
	l.bucket(k)[i] = rec
	l.keep(i, r)
}

// Settle returns the state of a task. A task that has not started is closed for
// good first. State 0 means that nothing is certain: the key has expired, or no
// tombstone can be kept.
func (l *Ledger) Settle(now time.Time, k wire.Key, task uint16) wire.Settled {
	l.advance(now)
	i := id{k, task}
	s := wire.Settled{Key: k, Task: task}
	if api.Key(k).Expired(l.now) {
		return s
	}
	r, ok := l.find(i)
	if !ok {
		if !l.tombstone(i) {
			return s
		}
		r.state = wire.StateClosed
	}
	s.State, s.Digest = r.state, binary.LittleEndian.Uint64(r.digest[:])
	if res, ok := l.results[i]; ok {
		s.Result = res
	}
	return s
}

// Close closes a key as a whole for its owner, which may then answer that the
// job did not run: a later owner receives the tombstone with its fence. State 0
// means that nothing was closed: the owner is not in the newest roster, the key
// has expired, or no tombstone can be kept.
func (l *Ledger) Close(now time.Time, owner uint64, k wire.Key) wire.Settled {
	if !l.member(owner) {
		return wire.Settled{Key: k, Task: WholeJob}
	}
	return l.Settle(now, k, WholeJob)
}

// Records returns the tasks that the incarnation has started and the closed
// keys, for the keys that owned accepts.
func (l *Ledger) Records(incarnation uint64, owned func(api.Key) bool) []wire.Record {
	var owner [8]byte
	binary.LittleEndian.PutUint64(owner[:], incarnation)
	var out []wire.Record
	for _, m := range l.records {
		for i, r := range m {
			if (r.owner == owner || i.task == WholeJob) && owned(api.Key(i.key)) {
				out = append(out, wire.Record{Key: i.key, Task: i.task, Digest: binary.LittleEndian.Uint64(r.digest[:]), State: r.state})
			}
		}
	}
	return out
}

// Expire forgets records whose keys have expired. Call it about once a second.
func (l *Ledger) Expire(now time.Time) {
	l.advance(now)
	for second, m := range l.records {
		if l.now.Unix() <= second {
			continue
		}
		for i := range m {
			l.dropResult(i)
		}
		l.count -= len(m)
		delete(l.records, second)
	}
	l.trimResultOrder()
}

// Len returns the number of records.
func (l *Ledger) Len() int { return l.count }

// advance keeps the clock from stepping back: a key that was refused or
// forgotten as expired stays expired. The monotonic reading is removed, since
// comparisons would ignore a step of the wall clock.
func (l *Ledger) advance(now time.Time) {
	if now = now.Round(0); now.After(l.now) {
		l.now = now
	}
}

func (l *Ledger) member(owner uint64) bool {
	_, ok := l.members[owner]
	return ok
}

func (l *Ledger) bucket(k wire.Key) map[id]record { return l.records[api.Key(k).Expires().Unix()] }

func (l *Ledger) find(i id) (record, bool) {
	r, ok := l.bucket(i.key)[i]
	return r, ok
}

func (l *Ledger) put(i id, r record) {
	second := api.Key(i.key).Expires().Unix()
	m := l.records[second]
	if m == nil {
		m = map[id]record{}
		l.records[second] = m
	}
	m[i] = r
	l.count++
}

func (l *Ledger) tombstone(i id) bool {
	if l.count >= l.options.MaxRecords+l.options.MaxRecords/tombstoneShare {
		return false
	}
	l.put(i, record{state: wire.StateClosed})
	return true
}
