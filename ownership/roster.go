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
	// Retention is how long the roster keeps superseded member sets and fenced
	// incarnations after the last time at which they could lead to a start. By
	// the end of it, every key whose tasks they could have started has expired.
	Retention = api.KeyLifetime + 2*api.ClockSkew + 2*HostSkew
)

// Roster is the membership record of the entries, stored in the row
// table.RowRoster. Version increases by one with each write. Rosters are
// immutable: Join, Remove and Resolver.Confirm return a new one.
type Roster struct {
	Version uint64          `json:"version"`
	Members []Member        `json:"members"` // sorted by name
	Fenced  []FencedMember  `json:"fenced"`  // incarnations that left
	History []PastMemberSet `json:"history"` // superseded member sets, newest last
	Op      string          `json:"op"`      // id of the write; after a lost reply it shows whether the write was applied
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
	// Confirmed is the time by which every earlier member that is still in the
	// roster had adopted a roster with this member. It is zero until then.
	Confirmed time.Time `json:"confirmed,omitzero"`
}

// FencedMember is an incarnation that left the roster.
type FencedMember struct {
	Name        string    `json:"name"`
	Incarnation uint64    `json:"incarnation"`
	At          time.Time `json:"at"`
	// Version is the first roster version without the incarnation.
	Version uint64 `json:"version"`
	// Confirmed is the time by which every registered agent had adopted a roster
	// without the incarnation. It is zero until then. An agent behind a network
	// partition may still accept starts of the incarnation, so an unconfirmed
	// record never expires.
	Confirmed time.Time `json:"confirmed,omitzero"`
}

// PastMemberSet is a superseded member set of the roster.
type PastMemberSet struct {
	Version    uint64      `json:"version"` // last roster version with this set
	Members    []MemberRef `json:"members"`
	Superseded time.Time   `json:"superseded"`
}

// MemberRef identifies an incarnation of an entry.
type MemberRef struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// Owner returns the member that owns the key, and false if the roster has no
// members.
func (r *Roster) Owner(k api.Key) (Member, bool) {
	if r == nil {
		return Member{}, false
	}
	var best candidate
	for i := range r.Members {
		best.consider(i, r.Members[i].Name, k)
	}
	if !best.found {
		return Member{}, false
	}
	return r.Members[best.index], true
}

// Find returns the member with the given incarnation, and false if there is none.
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

// OwnedBy returns a function that reports whether the named entry owns a key
// under this roster. Entries use it to select the keys for a HandoverAck.
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

// Join returns the roster with m added. A member with the same name and another
// incarnation is replaced and fenced. A nil receiver counts as an empty roster.
func (r *Roster) Join(m Member, now time.Time, op string) *Roster {
	n := r.nextVersion(now, op)
	if i := slices.IndexFunc(n.Members, func(o Member) bool { return o.Name == m.Name }); i >= 0 {
		if n.Members[i].Incarnation == m.Incarnation {
			m.Joined, m.Confirmed = n.Members[i].Joined, n.Members[i].Confirmed
			n.Members[i] = m
			return n
		}
		n.fenceAt(i, now)
	}
	n.supersede(r, now)
	m.Joined, m.Confirmed = n.Version, time.Time{}
	n.Members = append(n.Members, m)
	slices.SortFunc(n.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return n
}

// Remove returns the roster without the incarnation, which is fenced. It returns
// r itself if the incarnation is not a member.
func (r *Roster) Remove(incarnation uint64, now time.Time, op string) *Roster {
	if _, ok := r.Find(incarnation); !ok {
		return r
	}
	n := r.nextVersion(now, op)
	n.fenceAt(slices.IndexFunc(n.Members, func(m Member) bool { return m.Incarnation == incarnation }), now)
	n.supersede(r, now)
	return n
}

// confirm returns the roster with the fences of the given incarnations and, if
// joined is set, the join of the member marked as confirmed.
func (r *Roster) confirm(member uint64, joined bool, fenced []uint64, now time.Time, op string) *Roster {
	n := r.nextVersion(now, op)
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

// nextVersion returns a copy of the roster with the version increased by one and
// without the fenced incarnations and member sets that have expired.
func (r *Roster) nextVersion(now time.Time, op string) *Roster {
	if r == nil {
		return &Roster{Version: 1, Op: op}
	}
	n := &Roster{Version: r.Version + 1, Op: op, Members: slices.Clone(r.Members)}
	// A member set is kept while a live member may still act on it, that is until
	// every later join is confirmed, and while an incarnation of it that left may
	// still start tasks.
	lastConfirmed := time.Time{}
	unconfirmed := false
	observe := func(confirmed time.Time) {
		unconfirmed = unconfirmed || confirmed.IsZero()
		if confirmed.After(lastConfirmed) {
			lastConfirmed = confirmed
		}
	}
	for _, m := range r.Members {
		observe(m.Confirmed)
	}
	for _, f := range r.Fenced {
		observe(f.Confirmed)
	}
	for _, f := range r.Fenced {
		if f.Confirmed.IsZero() || now.Before(f.Confirmed.Add(Retention)) {
			n.Fenced = append(n.Fenced, f)
		}
	}
	for _, p := range r.History {
		// Sets after one that is kept are kept as well, so that the first version of
		// each follows from the last version of the one before.
		if len(n.History) > 0 || unconfirmed || now.Before(lastConfirmed.Add(Retention)) || now.Before(p.Superseded.Add(Retention)) {
			n.History = append(n.History, p)
		}
	}
	return n
}

// fenceAt removes member i and adds its incarnation to the fenced ones.
func (r *Roster) fenceAt(i int, now time.Time) {
	m := r.Members[i]
	r.Members = slices.Delete(r.Members, i, i+1)
	r.Fenced = append(r.Fenced, FencedMember{Name: m.Name, Incarnation: m.Incarnation, At: now, Version: r.Version})
}

// supersede appends the member set of old to the history.
func (r *Roster) supersede(old *Roster, now time.Time) {
	if old == nil || len(old.Members) == 0 {
		return
	}
	r.History = append(r.History, PastMemberSet{Version: old.Version, Members: old.refs(), Superseded: now})
}

func (r *Roster) refs() []MemberRef {
	refs := make([]MemberRef, len(r.Members))
	for i, m := range r.Members {
		refs[i] = MemberRef{m.Name, m.Incarnation}
	}
	return refs
}
