// Package ownership is a placeholder until the package of branch safety is merged.
package ownership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamelift/sesamelift/api"
)

// Roster is the membership record.
type Roster struct {
	Version uint64   `json:"version"`
	Members []Member `json:"members"`
}

// Member is an entry.
type Member struct {
	Name                       string
	Incarnation                uint64
	PeerAddr, CallerAddr, Zone string
}

// Registration is the row of an agent.
type Registration struct {
	Worker             string
	Incarnation        uint64
	Addr, Zone         string
	ReplacedAt, LeftAt time.Time
}

// Winner returns the name with the highest hash.
func Winner(names []string, k api.Key) string {
	var best string
	var top uint64
	for _, n := range names {
		if h := xxhash.Sum64String(n + string(k[:])); best == "" || h > top {
			best, top = n, h
		}
	}
	return best
}

// Owner returns the owner of a key.
func (r *Roster) Owner(k api.Key) (Member, bool) {
	var names []string
	for _, m := range r.Members {
		names = append(names, m.Name)
	}
	w := Winner(names, k)
	for _, m := range r.Members {
		if m.Name == w {
			return m, true
		}
	}
	return Member{}, false
}

// Find returns the member with an incarnation.
func (r *Roster) Find(incarnation uint64) (Member, bool) {
	for _, m := range r.Members {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return Member{}, false
}
