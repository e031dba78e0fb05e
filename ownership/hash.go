package ownership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sesamelift/sesamelift/api"
)

// score returns the rendezvous hash of a member name for a key.
func score(name string, k api.Key) uint64 {
	var buf [len(k) + api.MaxNameLength]byte // longer names allocate
	b := append(buf[:0], k[:]...)
	return xxhash.Sum64(append(b, name...))
}

// candidate is the name with the highest score so far. Among equal scores the
// name that sorts last wins, so that the result does not depend on the order of
// the input.
type candidate struct {
	name  string
	score uint64
	index int
	found bool
}

func (c *candidate) consider(index int, name string, k api.Key) {
	s := score(name, k)
	if c.found && (s < c.score || s == c.score && name <= c.name) {
		return
	}
	*c = candidate{name, s, index, true}
}

// OwnerName returns the name with the highest rendezvous hash for the key, or "" if
// names is empty.
func OwnerName(names []string, k api.Key) string {
	var best candidate
	for i, n := range names {
		best.consider(i, n, k)
	}
	return best.name
}

func ownerOf(refs []MemberRef, k api.Key) (MemberRef, bool) {
	var best candidate
	for i := range refs {
		best.consider(i, refs[i].Name, k)
	}
	if !best.found {
		return MemberRef{}, false
	}
	return refs[best.index], true
}
