package queue

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/wire"
)

// Guards against a copy that serves tasks in another order than the queue, or that changes it.
func TestCloneServesTheSameOrder(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	any := func(string, wire.Class) bool { return true }
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		q := New(Options{})
		for i := range 60 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			n := 1 + r.IntN(6)
			q.Add(Job{
				Key: wire.Key{byte(i + 1)}, Service: fmt.Sprint("s", r.IntN(2)), Team: fmt.Sprint("t", r.IntN(3)), Weight: 1 + r.IntN(3),
				Class: wire.Class(r.IntN(2)), Arrived: now, Deadline: now.Add(time.Duration(1+r.IntN(20)) * time.Second), Tasks: n,
			}, make([]uint16, n)...)
			for range r.IntN(4) {
				if k, _, ok := q.Next(now, any); ok && r.IntN(2) == 0 {
					q.TaskEnded(k)
				}
			}
		}
		drain := func(q *Queue) (keys []wire.Key) {
			for {
				k, _, ok := q.Next(start.Add(7*time.Second), any)
				if !ok {
					return keys
				}
				keys = append(keys, k)
			}
		}
		untouched := q.Clone()
		want := drain(q.Clone())
		qt.Assert(t, reflect.DeepEqual(q, untouched), qt.IsTrue, qt.Commentf("seed %d: the original has changed", seed))
		qt.Assert(t, drain(q), qt.DeepEquals, want, qt.Commentf("seed %d", seed))
	}
}
