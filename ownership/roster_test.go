package ownership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
)

var t0 = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func entryMember(name string, incarnation uint64) Member {
	return Member{Name: name, Incarnation: incarnation, PeerAddr: "127.0.0.1:1", CallerAddr: "127.0.0.1:2", Zone: "gondar"}
}

// Guards against a Join or Remove that loses a member, keeps a replaced
// incarnation, or modifies the old roster, which another goroutine may be reading.
func TestRosterJoinRemove(t *testing.T) {
	c := qt.New(t)
	var none *Roster
	r1 := none.Join(entryMember("b", 2), t0, "op1")
	r2 := r1.Join(entryMember("a", 1), t0.Add(1), "op2")
	r3 := r2.Join(entryMember("b", 3), t0.Add(2), "op3")
	r4 := r3.Remove(1, t0.Add(3), "op4")
	c.Assert(r1.Version, qt.Equals, uint64(1))
	c.Assert(r2.refs(), qt.DeepEquals, []MemberRef{{"a", 1}, {"b", 2}})
	c.Assert(r3.refs(), qt.DeepEquals, []MemberRef{{"a", 1}, {"b", 3}})
	c.Assert(r3.Fenced, qt.DeepEquals, []FencedMember{{Name: "b", Incarnation: 2, At: t0.Add(2), Version: 3}})
	c.Assert(r4.refs(), qt.DeepEquals, []MemberRef{{"b", 3}})
	c.Assert(r4.Version, qt.Equals, uint64(4))
	c.Assert(r4.Op, qt.Equals, "op4")
	c.Assert(r4.History, qt.DeepEquals, []PastMemberSet{
		{1, []MemberRef{{"b", 2}}, t0.Add(1)}, {2, []MemberRef{{"a", 1}, {"b", 2}}, t0.Add(2)}, {3, []MemberRef{{"a", 1}, {"b", 3}}, t0.Add(3)},
	})
	c.Assert(r4.Remove(1, t0, "again"), qt.Equals, r4)
	_, ok := r4.Find(1)
	c.Assert(ok, qt.IsFalse)
	m, ok := r4.Find(3)
	c.Assert(ok, qt.IsTrue)
	c.Assert(m.Joined, qt.Equals, uint64(3))
	same := r4.Join(entryMember("b", 3), t0.Add(4), "repeat")
	c.Assert(same.Fenced, qt.HasLen, 2)
	c.Assert(same.History, qt.HasLen, 3)
	c.Assert(same.Members, qt.DeepEquals, r4.Members)
}

// Guards against a stored roster that reads back with other values. An incarnation
// may be too large for a float64 to hold exactly.
func TestRosterJSON(t *testing.T) {
	var none *Roster
	r := none.Join(entryMember("a", 1<<63+5), t0, "x").Join(entryMember("b", 2), t0, "y").Remove(1<<63+5, t0, "z")
	b, err := json.Marshal(r)
	qt.Assert(t, err, qt.IsNil)
	var got Roster
	qt.Assert(t, json.Unmarshal(b, &got), qt.IsNil)
	qt.Assert(t, &got, qt.DeepEquals, r)
}

// Guards against history that is deleted while a member or an agent with an old
// roster may still act on it, and against history that is never deleted.
func TestRosterPruning(t *testing.T) {
	c := qt.New(t)
	at := func(d time.Duration) time.Time { return t0.Add(d) }
	var none *Roster
	r := none.Join(entryMember("a", 1), t0, "").Join(entryMember("b", 2), t0, "").Remove(2, t0, "")
	late := r.Join(entryMember("a", 1), at(24*time.Hour), "")
	c.Assert(late.Fenced, qt.HasLen, 1)
	c.Assert(late.History, qt.HasLen, 2)

	r = r.confirm(1, true, []uint64{2}, at(time.Hour), "")
	early := r.Join(entryMember("a", 1), at(time.Hour+Retention-1), "")
	c.Assert(early.Fenced, qt.HasLen, 1)
	c.Assert(early.History, qt.HasLen, 2)
	late = r.Join(entryMember("a", 1), at(time.Hour+Retention), "")
	c.Assert(late.Fenced, qt.HasLen, 0)
	c.Assert(late.History, qt.HasLen, 0)
}

// Guards against an uneven distribution of keys, a result that depends on the
// order of the names, and keys that move although their owner is still a member.
func TestRendezvousHash(t *testing.T) {
	names := []string{"e1", "e2", "e3", "e4", "e5"}
	count := map[string]int{}
	const keys = 10000
	for i := range uint64(keys) {
		k := api.NewKeyAt(t0.Add(time.Duration(i)*time.Millisecond), i)
		owner := OwnerName(names, k)
		count[owner]++
		qt.Assert(t, OwnerName([]string{"e5", "e3", "e1", "e2", "e4"}, k), qt.Equals, owner)
		if owner != "e5" {
			qt.Assert(t, OwnerName(names[:4], k), qt.Equals, owner)
		}
	}
	for _, n := range names {
		qt.Assert(t, count[n] > keys/5-400 && count[n] < keys/5+400, qt.IsTrue, qt.Commentf("%v", count))
	}
	qt.Assert(t, OwnerName(nil, api.Key{}), qt.Equals, "")
}

func BenchmarkOwner(b *testing.B) {
	var r *Roster
	for i := range 20 {
		r = r.Join(entryMember(fmt.Sprintf("entry-%d", i), uint64(i+1)), t0, "")
	}
	k := api.NewKeyAt(t0, 1)
	b.ReportAllocs()
	for b.Loop() {
		r.Owner(k)
	}
}
