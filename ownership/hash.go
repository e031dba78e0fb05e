package ownership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sesamelift/sesamelift/api"
)

// score is the rendezvous weight of a member name for a key.
func score(name string, k api.Key) uint64 {
	var buf [len(k) + api.MaxNameLength]byte // longer names allocate
	b := append(buf[:0], k[:]...)
	return xxhash.Sum64(append(b, name...))
}

// candidate is the best name so far. Equal scores go to the name that sorts
// last, so that the order of the input does not matter.
type candidate struct {
	name  string
	score uint64
	index int
	found bool
}

func (c *candidate) offer(index int, name string, k api.Key) {
	s := score(name, k)
	if c.found && (s < c.score || s == c.score && name <= c.name) {
		return
	}
	*c = candidate{name, s, index, true}
}

// Winner returns the name with the highest rendezvous hash for the key, or ""
// when there are no names.
func Winner(names []string, k api.Key) string {
	var best candidate
	for i, n := range names {
		best.offer(i, n, k)
	}
	return best.name
}

func winnerOf(refs []Ref, k api.Key) (Ref, bool) {
	var best candidate
	for i := range refs {
		best.offer(i, refs[i].Name, k)
	}
	if !best.found {
		return Ref{}, false
	}
	return refs[best.index], true
}
