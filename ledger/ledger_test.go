package ledger

import (
	"bytes"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

// Incarnations of the agent and of two entries.
const self, owner, otherOwner = 7, 21, 22

var t0 = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func key(seed uint64) wire.Key { return wire.Key(api.NewKeyAt(t0, seed)) }

func start(k wire.Key, task uint16) *wire.Start {
	return &wire.Start{Key: k, Task: task, Owner: owner, Agent: self, Digest: 99}
}

func newLedger(o Options) *Ledger {
	l := New(self, o)
	l.AdoptRoster(3, []uint64{owner})
	return l
}

func anyKey(api.Key) bool { return true }

// Guards against a task that is sent to the backend server twice, and against
// accepting a start whose key has expired, whose owner is fenced, that is addressed
// to another agent incarnation or whose task is closed. Check and Start must agree.
func TestStart(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(l *Ledger)
		start  wire.Start
		now    time.Time
		want   Decision
	}{
		{"first", func(*Ledger) {}, *start(key(1), 0), t0, Decision{Run: true}},
		{"other task", func(l *Ledger) { l.Start(t0, start(key(1), 0)) }, *start(key(1), 1), t0, Decision{Run: true}},
		{"again while running", func(l *Ledger) { l.Start(t0, start(key(1), 0)) }, *start(key(1), 0), t0, Decision{State: wire.StateRunning}},
		{"again after the result", func(l *Ledger) {
			l.Start(t0, start(key(1), 0))
			l.Finish(key(1), 0, wire.Result{Body: []byte("r")})
		}, *start(key(1), 0), t0, Decision{State: wire.StateFinished, Result: &wire.Result{Body: []byte("r")}}},
		{"again from another owner", func(l *Ledger) {
			l.Start(t0, start(key(1), 0))
			l.AdoptRoster(4, []uint64{otherOwner})
		}, wire.Start{Key: key(1), Owner: otherOwner, Agent: self, Digest: 99}, t0, Decision{State: wire.StateRunning}},
		{"other digest", func(l *Ledger) { l.Start(t0, start(key(1), 0)) },
			wire.Start{Key: key(1), Owner: owner, Agent: self, Digest: 98}, t0, Decision{State: wire.StateRunning, Refusal: RefusedDigest}},
		{"after settle", func(l *Ledger) { l.Settle(t0, key(1), 0) }, *start(key(1), 0), t0, Decision{State: wire.StateClosed}},
		{"after close of the key", func(l *Ledger) { l.Close(t0, owner, key(1)) }, *start(key(1), 0), t0,
			Decision{State: wire.StateClosed, Refusal: RefusedClosed}},
		{"owner not in roster", func(*Ledger) {}, wire.Start{Key: key(1), Owner: otherOwner, Agent: self}, t0, Decision{Refusal: RefusedNotMember}},
		{"owner removed", func(l *Ledger) { l.AdoptRoster(4, nil) }, *start(key(1), 0), t0, Decision{Refusal: RefusedNotMember}},
		{"older roster does not bring the owner back", func(l *Ledger) {
			l.AdoptRoster(5, nil)
			l.AdoptRoster(4, []uint64{owner})
		}, *start(key(1), 0), t0, Decision{Refusal: RefusedNotMember}},
		{"other agent incarnation", func(*Ledger) {}, wire.Start{Key: key(1), Owner: owner, Agent: self + 1}, t0, Decision{Refusal: RefusedIncarnation}},
		{"just before expiry", func(*Ledger) {}, *start(key(1), 0), api.Key(key(1)).Expires().Add(-time.Millisecond), Decision{Run: true}},
		{"expired", func(*Ledger) {}, *start(key(1), 0), api.Key(key(1)).Expires(), Decision{Refusal: RefusedExpired}},
		{"expired, then the clock steps back", func(l *Ledger) { l.Expire(t0.Add(time.Hour)) }, *start(key(1), 0), t0, Decision{Refusal: RefusedExpired}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLedger(Options{MaxRecords: 10, MaxResultBytes: 1 << 10})
			tc.before(l)
			records := l.Len()
			qt.Assert(t, l.Check(tc.now, &tc.start), qt.DeepEquals, tc.want)
			qt.Assert(t, l.Len(), qt.Equals, records)
			qt.Assert(t, l.Start(tc.now, &tc.start), qt.DeepEquals, tc.want)
		})
	}
}

// Guards against an agent that accepts starts before it has a roster and so cannot
// tell which owners are fenced.
func TestNoRosterRefuses(t *testing.T) {
	l := New(self, Options{MaxRecords: 10})
	qt.Assert(t, l.Start(t0, start(key(1), 0)), qt.Equals, Decision{Refusal: RefusedNotMember})
	qt.Assert(t, l.AdoptRoster(0, []uint64{owner}), qt.IsFalse)
	qt.Assert(t, l.AdoptRoster(2, []uint64{owner}), qt.IsTrue)
	qt.Assert(t, l.AdoptRoster(1, nil), qt.IsFalse)
	qt.Assert(t, l.Start(t0, start(key(1), 0)).Run, qt.IsTrue)
}

// Guards against reporting a task as closed although it has started or can still
// start, and against a second result that replaces the first.
func TestSettle(t *testing.T) {
	c := qt.New(t)
	l := newLedger(Options{MaxRecords: 10, MaxResultBytes: 1 << 10})
	l.Start(t0, start(key(1), 0))
	c.Assert(l.Settle(t0, key(1), 0), qt.DeepEquals, wire.Settled{Key: key(1), State: wire.StateRunning, Digest: 99})
	l.Finish(key(1), 0, wire.Result{Body: []byte("r")})
	l.Finish(key(1), 0, wire.Result{Body: []byte("second")})
	c.Assert(l.Settle(t0, key(1), 0), qt.DeepEquals,
		wire.Settled{Key: key(1), State: wire.StateFinished, Digest: 99, Result: wire.Result{Body: []byte("r")}})
	c.Assert(l.Settle(t0, key(1), 1).State, qt.Equals, wire.StateClosed)
	c.Assert(l.Settle(t0, key(1), 1).State, qt.Equals, wire.StateClosed)
	l.Finish(key(1), 1, wire.Result{})
	c.Assert(l.Settle(t0, key(1), 1).State, qt.Equals, wire.StateClosed)
	c.Assert(l.Settle(api.Key(key(1)).Expires(), key(1), 2).State, qt.Equals, wire.State(0))
}

// Guards against a fenced owner that closes a key, since another entry may have
// taken the job over.
func TestCloseNeedsMember(t *testing.T) {
	l := newLedger(Options{MaxRecords: 10})
	qt.Assert(t, l.Close(t0, otherOwner, key(1)).State, qt.Equals, wire.State(0))
	qt.Assert(t, l.Start(t0, start(key(1), 0)).Run, qt.IsTrue)
	qt.Assert(t, l.Close(t0, owner, key(2)).State, qt.Equals, wire.StateClosed)
}

// Guards against an answer to a fence that omits a started task or a closed key,
// since the new owner of the key would then start the task again.
func TestRecords(t *testing.T) {
	l := newLedger(Options{MaxRecords: 10, MaxResultBytes: 1 << 10})
	l.Start(t0, start(key(1), 4))
	l.Start(t0, start(key(2), 0))
	l.Settle(t0, key(1), 5)
	l.AdoptRoster(4, []uint64{owner, otherOwner})
	l.Start(t0, &wire.Start{Key: key(1), Task: 6, Owner: otherOwner, Agent: self})
	onlyFirst := func(k api.Key) bool { return k == api.Key(key(1)) }
	want := []wire.Record{{Key: key(1), Task: 4, Digest: 99, State: wire.StateRunning}}
	qt.Assert(t, l.Records(owner, onlyFirst), qt.DeepEquals, want)
	l.Close(t0, otherOwner, key(3))
	qt.Assert(t, l.Records(12345, anyKey), qt.DeepEquals, []wire.Record{{Key: key(3), Task: WholeKey, State: wire.StateClosed}})
}

// Guards against stored results that exceed the memory limit, and against a
// finished task that runs again because its result was dropped.
func TestResultBound(t *testing.T) {
	c := qt.New(t)
	body := bytes.Repeat([]byte("x"), 1000)
	l := newLedger(Options{MaxRecords: 10, MaxResultBytes: 2 * (1000 + resultOverheadBytes)})
	for i := range uint16(4) {
		l.Start(t0, start(key(1), i))
	}
	for _, i := range []uint16{2, 0, 1} {
		l.Finish(key(1), i, wire.Result{Body: body})
	}
	c.Assert(l.Settle(t0, key(1), 2).State, qt.Equals, wire.StateResultDropped)
	c.Assert(l.Start(t0, start(key(1), 2)), qt.DeepEquals, Decision{State: wire.StateResultDropped})
	c.Assert(l.Settle(t0, key(1), 0).State, qt.Equals, wire.StateFinished)
	c.Assert(l.Settle(t0, key(1), 1).Result.Body, qt.DeepEquals, body)
	l.Finish(key(1), 3, wire.Result{Body: bytes.Repeat(body, 3)})
	c.Assert(l.Settle(t0, key(1), 3).State, qt.Equals, wire.StateResultDropped)
	c.Assert(l.resultBytes <= l.options.MaxResultBytes, qt.IsTrue)
}

// Guards against a full ledger that deletes the record of a valid key to free
// space, or that can no longer settle tasks.
func TestRecordBound(t *testing.T) {
	c := qt.New(t)
	l := newLedger(Options{MaxRecords: 8})
	for i := range uint16(8) {
		c.Assert(l.Start(t0, start(key(1), i)).Run, qt.IsTrue)
	}
	c.Assert(l.Start(t0, start(key(1), 8)), qt.Equals, Decision{Refusal: RefusedFull})
	c.Assert(l.Start(t0, start(key(1), 0)), qt.Equals, Decision{State: wire.StateRunning})
	c.Assert(l.Settle(t0, key(1), 8).State, qt.Equals, wire.StateClosed)
	c.Assert(l.Settle(t0, key(1), 9).State, qt.Equals, wire.State(0))
	l.Expire(api.Key(key(1)).Expires().Add(-time.Millisecond))
	c.Assert(l.Len(), qt.Equals, 9)
	l.Expire(api.Key(key(1)).Expires().Add(time.Second))
	c.Assert(l.Len(), qt.Equals, 0)
	k := wire.Key(api.NewKeyAt(t0.Add(api.KeyLifetime), 1))
	c.Assert(l.Start(t0, start(k, 0)).Run, qt.IsTrue)
}

// Guards against memory that is not released when results expire.
func TestExpireReleasesResults(t *testing.T) {
	l := newLedger(Options{MaxRecords: 1 << 20, MaxResultBytes: 1 << 30})
	for i := range 1000 {
		k := wire.Key(api.NewKeyAt(t0.Add(time.Duration(i)*time.Second), uint64(i)))
		l.Start(t0, start(k, 0))
		l.Finish(k, 0, wire.Result{Body: []byte("r")})
		l.Expire(t0.Add(time.Duration(i) * time.Second))
	}
	qt.Assert(t, len(l.results) <= 332, qt.IsTrue, qt.Commentf("%d results", len(l.results)))
	qt.Assert(t, len(l.resultOrder) <= 2*332+64, qt.IsTrue)
	qt.Assert(t, l.resultBytes, qt.Equals, len(l.results)*(1+resultOverheadBytes))
	l.Expire(t0.Add(time.Hour))
	qt.Assert(t, l.resultBytes+l.Len()+len(l.records)+len(l.results), qt.Equals, 0)
}

// benchmarkKeys returns n keys with creation times spread over the key lifetime,
// as an agent receives them.
func benchmarkKeys(n int) []wire.Key {
	keys := make([]wire.Key, n)
	for i := range keys {
		at := t0.Add(time.Duration(i) * api.KeyLifetime / time.Duration(n))
		keys[i] = wire.Key(api.NewKeyAt(at, uint64(i)*0x9e3779b97f4a7c15))
	}
	return keys
}

// BenchmarkStart measures the insertion of a record. An agent has 32,000 records
// at 96 starts/s.
func BenchmarkStart(b *testing.B) {
	keys := benchmarkKeys(32000)
	s := start(keys[0], 0)
	b.ReportAllocs()
	var l *Ledger
	i := len(keys)
	for b.Loop() {
		if i == len(keys) {
			l, i = newLedger(Options{MaxRecords: 1 << 20}), 0
		}
		s.Key = keys[i]
		l.Start(t0, s)
		i++
	}
}

// BenchmarkMemory reports the memory per record.
func BenchmarkMemory(b *testing.B) {
	for _, bc := range []struct {
		name string
		n    int
	}{{"32k", 32000}, {"1M", 1000000}} {
		b.Run(bc.name, func(b *testing.B) {
			keys := benchmarkKeys(bc.n)
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				l := newLedger(Options{MaxRecords: 1 << 30})
				for _, k := range keys {
					l.Start(t0, start(k, 0))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(l.Len()), "B/record")
			}
			runtime.KeepAlive(keys)
		})
	}
}
