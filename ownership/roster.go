package ownership

import (
	"slices"
	"strings"
	"time"

	"github.com/sesamelift/sesamelift/api"
)

const (
	// HostSkew is the tolerated difference between the clocks of two hosts. It
	// is smaller than api.ClockSkew, which also covers the clocks of callers.
	HostSkew = 5 * time.Second
	// Retention is how long member sets and fenced incarnations stay in the
	// roster after they can lead to no new start. Every key that they could have
	// started has expired by then.
	Retention = api.KeyLifetime + 2*api.ClockSkew + 2*HostSkew
)

// Roster is the membership record of the entries, the value of
// table.RowRoster. Version rises by one with each write. Rosters are immutable: Join,
// Remove and Confirm return a new one.
type Roster struct {
	Version uint64   `json:"version"`
	Members []Member `json:"members"` // sorted by name
	Fenced  []Fenced `json:"fenced"`  // incarnations that left
	History []Past   `json:"history"` // earlier member sets, newest last
	Op      string   `json:"op"`      // id of the write, to resolve a lost reply
}

// Member is an entry of the roster.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	PeerAddr    string `json:"peer_addr"`
	CallerAddr  string `json:"caller_addr"`
	Zone        string `json:"zone"`
	// Joined is the roster version that added the member.
	Joined uint64 `json:"joined"`
	// Confirmed is when every earlier member that is still live had adopted a
	// roster with this member. Zero until then.
	Confirmed time.Time `json:"confirmed,omitzero"`
}

// Fenced is an incarnation that left the roster.
type Fenced struct {
	Name        string    `json:"name"`
	Incarnation uint64    `json:"incarnation"`
	At          time.Time `json:"at"`
	// Version is the first roster version without the incarnation.
	Version uint64 `json:"version"`
	// Confirmed is when every registered agent had adopted a roster without the
	// incarnation. Until then, an agent that a partition cuts off may still
	// accept its starts, so the record must not expire by time.
	Confirmed time.Time `json:"confirmed,omitzero"`
}

// Past is a member set that was superseded.
type Past struct {
	Version    uint64    `json:"version"` // last roster version with this set
	Members    []Ref     `json:"members"`
	Superseded time.Time `json:"superseded"`
}

// Ref identifies an incarnation of an entry.
type Ref struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Owner returns the member that owns the key; false when there is no member.
func (r *Roster) Owner(k api.Key) (Member, bool) {
	if r == nil {
		return Member{}, false
	}
	var best candidate
	for i := range r.Members {
		best.offer(i, r.Members[i].Name, k)
	}
	if !best.found {
		return Member{}, false
	}
	return r.Members[best.index], true
}

// Find returns the member with the incarnation.
func (r *Roster) Find(incarnation uint64) (Member, bool) {
	if r == nil {
		return Member{}, false
	}
	i := slices.IndexFunc(r.Members, func(m Member) bool { return m.Incarnation == incarnation })
	if i < 0 {
		return Member{}, false
	}
	return r.Members[i], true
}

// OwnedBy returns a function that reports whether the entry of that name owns a
// key under this roster. Agents use it to select the records for a FenceAck.
func (r *Roster) OwnedBy(name string) func(api.Key) bool {
	return func(k api.Key) bool {
		m, ok := r.Owner(k)
		return ok && m.Name == name
	}
}

// Incarnations returns the incarnations of the members.
func (r *Roster) Incarnations() []uint64 {
	ids := make([]uint64, len(r.Members))
	for i, m := range r.Members {
		ids[i] = m.Incarnation
	}
	return ids
}

// Join returns the roster with m added. A member of the same name is replaced
// and its incarnation fenced. A nil roster is an empty one.
func (r *Roster) Join(m Member, now time.Time, op string) *Roster {
	n := r.next(now, op)
	if i := slices.IndexFunc(n.Members, func(o Member) bool { return o.Name == m.Name }); i >= 0 {
		if n.Members[i].Incarnation == m.Incarnation {
			m.Joined, m.Confirmed = n.Members[i].Joined, n.Members[i].Confirmed
			n.Members[i] = m
			return n
		}
		n.drop(i, now)
	}
	n.supersede(r, now)
	m.Joined, m.Confirmed = n.Version, time.Time{}
	n.Members = append(n.Members, m)
	slices.SortFunc(n.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return n
}

// Remove returns the roster without the incarnation, which becomes fenced. It
// returns r itself when the incarnation is no member.
func (r *Roster) Remove(incarnation uint64, now time.Time, op string) *Roster {
	if _, ok := r.Find(incarnation); !ok {
		return r
	}
	n := r.next(now, op)
	n.drop(slices.IndexFunc(n.Members, func(m Member) bool { return m.Incarnation == incarnation }), now)
	n.supersede(r, now)
	return n
}

// confirm returns the roster with the join of the member and the fences of the
// given incarnations marked as complete.
func (r *Roster) confirm(member uint64, joined bool, fenced []uint64, now time.Time, op string) *Roster {
	n := r.next(now, op)
	for i := range n.Members {
		if m := &n.Members[i]; joined && m.Incarnation == member && m.Confirmed.IsZero() {
			m.Confirmed = now
		}
	}
	for i := range n.Fenced {
		if f := &n.Fenced[i]; slices.Contains(fenced, f.Incarnation) && f.Confirmed.IsZero() {
			f.Confirmed = now
		}
	}
	return n
}

// next copies the roster with the next version and without what has expired.
func (r *Roster) next(now time.Time, op string) *Roster {
	if r == nil {
		return &Roster{Version: 1, Op: op}
	}
	n := &Roster{Version: r.Version + 1, Op: op, Members: slices.Clone(r.Members)}
	// A member set stays as long as a live member may still believe in it, which
	// ends when every later join is confirmed, and as long as an incarnation of
	// it that left may still start tasks.
	last := time.Time{}
	open := false
	note := func(confirmed time.Time) {
		open = open || confirmed.IsZero()
		if confirmed.After(last) {
			last = confirmed
		}
	}
	for _, m := range r.Members {
		note(m.Confirmed)
	}
	for _, f := range r.Fenced {
		note(f.Confirmed)
	}
	for _, f := range r.Fenced {
		if f.Confirmed.IsZero() || now.Before(f.Confirmed.Add(Retention)) {
			n.Fenced = append(n.Fenced, f)
		}
	}
	for _, p := range r.History {
		if open || now.Before(last.Add(Retention)) || now.Before(p.Superseded.Add(Retention)) {
			n.History = append(n.History, p)
		}
	}
	return n
}

func (r *Roster) drop(i int, now time.Time) {
	m := r.Members[i]
	r.Members = slices.Delete(r.Members, i, i+1)
	r.Fenced = append(r.Fenced, Fenced{Name: m.Name, Incarnation: m.Incarnation, At: now, Version: r.Version})
}

// supersede appends the member set of old to the history.
func (r *Roster) supersede(old *Roster, now time.Time) {
	if old == nil || len(old.Members) == 0 {
		return
	}
	r.History = append(r.History, Past{Version: old.Version, Members: old.refs(), Superseded: now})
}

func (r *Roster) refs() []Ref {
	refs := make([]Ref, len(r.Members))
	for i, m := range r.Members {
		refs[i] = Ref{m.Name, m.Incarnation}
	}
	return refs
}
