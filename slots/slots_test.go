package slots

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/sesamelift/sesamelift/wire"
)

const (
	short = wire.ClassShort
	long  = wire.ClassLong
)

type acquireCall struct {
	item  int
	class wire.Class
	want  Decision
}

// Guards against running more starts than Slots or LongSlots allows, and against
// long tasks ahead of short ones in the hold queue.
func TestAcquireAndAcquireHeld(t *testing.T) {
	for _, tc := range []struct {
		name         string
		options      Options
		calls        []acquireCall
		ended        []wire.Class
		wantAcquired []int
		wantLoad     wire.Load
	}{
		{"slots full, then hold queue full", Options{2, 1, 1},
			[]acquireCall{{1, short, Run}, {2, short, Run}, {3, short, Held}, {4, short, Busy}},
			nil, nil, wire.Load{Slots: 2, Running: 2, Held: 1}},
		{"no hold queue", Options{1, 1, 0},
			[]acquireCall{{1, short, Run}, {2, short, Busy}},
			nil, nil, wire.Load{Slots: 1, Running: 1}},
		{"long tasks limited to LongSlots", Options{3, 1, 4},
			[]acquireCall{{1, long, Run}, {2, long, Busy}, {3, short, Run}},
			nil, nil, wire.Load{Slots: 3, Running: 2, RunningLong: 1}},
		{"LongSlots above Slots", Options{1, 5, 1},
			[]acquireCall{{1, long, Run}, {2, long, Busy}},
			nil, nil, wire.Load{Slots: 1, Running: 1, RunningLong: 1}},
		{"short first, in order of arrival within a class", Options{2, 2, 4},
			[]acquireCall{{1, short, Run}, {2, short, Run}, {3, long, Held}, {4, short, Held}, {5, long, Held}, {6, short, Held}},
			[]wire.Class{short, short}, []int{4, 6}, wire.Load{Slots: 2, Running: 2, Held: 2}},
		{"held long task waits for a long slot", Options{2, 1, 4},
			[]acquireCall{{1, short, Run}, {2, short, Run}, {3, long, Held}, {4, long, Held}},
			[]wire.Class{short, short}, []int{3}, wire.Load{Slots: 2, Running: 1, RunningLong: 1, Held: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New[int](tc.options)
			for _, call := range tc.calls {
				qt.Assert(t, s.Acquire(call.item, call.class), qt.Equals, call.want, qt.Commentf("item %d", call.item))
			}
			for _, c := range tc.ended {
				s.Release(c)
			}
			var acquired []int
			for {
				i, ok := s.AcquireHeld()
				if !ok {
					break
				}
				acquired = append(acquired, i)
			}
			qt.Assert(t, acquired, qt.DeepEquals, tc.wantAcquired)
			qt.Assert(t, s.Load(), qt.Equals, tc.wantLoad)
		})
	}
}

// Guards against running a held start after it was removed from the hold queue, and
// against losing one that was not removed.
func TestRemoveHeld(t *testing.T) {
	s := New[int](Options{1, 1, 3})
	for i := range 4 {
		s.Acquire(i, short)
	}
	qt.Assert(t, s.RemoveHeld(2), qt.IsTrue)
	qt.Assert(t, s.RemoveHeld(2), qt.IsFalse)
	qt.Assert(t, s.RemoveHeld(0), qt.IsFalse, qt.Commentf("item 0 runs"))
	qt.Assert(t, s.RemoveAllHeld(), qt.DeepEquals, []int{1, 3})
	s.Release(short)
	_, ok := s.AcquireHeld()
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, s.Idle(), qt.IsTrue)
}

// Guards against counts that drift over a random sequence of operations, so that a
// start is lost or a limit is exceeded.
func TestLimitsHoldForAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{rapid.IntRange(1, 6).Draw(t, "slots"), rapid.IntRange(1, 6).Draw(t, "long"), rapid.IntRange(0, 4).Draw(t, "hold")}
		s := New[int](o)
		var running []wire.Class
		class := map[int]wire.Class{}
		runningOrHeld := 0
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "done") {
				s.Release(running[0])
				running, runningOrHeld = running[1:], runningOrHeld-1
				for n, ok := s.AcquireHeld(); ok; n, ok = s.AcquireHeld() {
					running = append(running, class[n])
				}
			} else {
				class[i] = wire.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				switch s.Acquire(i, class[i]) {
				case Run:
					running, runningOrHeld = append(running, class[i]), runningOrHeld+1
				case Held:
					runningOrHeld++
				}
			}
			l := s.Load()
			if int(l.Running) != len(running) || int(l.Running) > o.Slots || int(l.RunningLong) > o.LongSlots ||
				int(l.Held) > o.MaxHeld || int(l.Running+l.Held) != runningOrHeld {
				t.Fatalf("load is %+v; want %d running, %d running or held, within %+v", l, len(running), runningOrHeld, o)
			}
		}
	})
}
