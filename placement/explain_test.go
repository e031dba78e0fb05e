package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/wire"
)

// Guards against an explanation that changes the state of an entry, and against one that
// names another worker than the one that a task then gets.
func TestCloneDecidesTheSame(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		policy := []string{Estimate, Random, PowerOfTwo}[seed%3]
		s := newFleet(9, Options{Policy: policy, Zone: zones[0], Seed: seed})
		now := t0
		for range 40 {
			now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
			id, ok := s.Pick("s", wire.Class(r.IntN(2)), now)
			if !ok {
				continue
			}
			if r.IntN(3) > 0 {
				end := succeeded(wire.ClassShort, fmt.Sprint(r.IntN(3)), time.Duration(1+r.IntN(100))*time.Millisecond)
				if id == 2 {
					end.Outcome = wire.OutcomeFailed
				}
				s.TaskEnded(id, end, now)
			}
		}
		s.AgentDisconnected(uint64(1 + r.IntN(9)))
		untouched, explaining := s.Clone(), s.Clone()
		var want []string
		for range 100 {
			choice, ok := explaining.PickExplained("s", wire.ClassShort, now)
			if !ok {
				break
			}
			qt.Assert(t, choice.Candidates[0].Worker, qt.Equals, choice.Worker)
			qt.Assert(t, choice.Candidates[0].Excluded, qt.Equals, "", qt.Commentf("%+v", choice.Candidates[0]))
			want = append(want, choice.Worker)
		}
		qt.Assert(t, reflect.DeepEqual(s, untouched), qt.IsTrue, qt.Commentf("seed %d: the original has changed", seed))
		var got []string
		for range 100 {
			id, ok := s.Pick("s", wire.ClassShort, now)
			if !ok {
				break
			}
			got = append(got, s.agents[id].worker)
		}
		qt.Assert(t, got, qt.DeepEquals, want, qt.Commentf("seed %d", seed))
		if policy != Estimate {
			continue
		}
		for _, c := range s.ExplainWait("s", wire.ClassShort, now).Candidates {
			qt.Check(t, c.Excluded, qt.Not(qt.Equals), "", qt.Commentf("seed %d: %s has no slot", seed, c.Worker))
		}
	}
}
