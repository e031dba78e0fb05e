package placement

import "github.com/sesamelift/sesamelift/wire"

// Layout of a ranking key from the highest bit: free slots, slowness inverted,
// same zone, random tie. Key 0 means no room.
const (
	tieBits  = 24
	zoneBit  = 1 << tieBits
	slowBits = tieBits + 1
	freeBits = slowBits + 8
	tieMask  = zoneBit - 1
)

// enoughFree is the number of free slots from which more make no difference.
// Above it the faster agent goes first; the slot that is left covers the starts
// of other entries since the last report.
const enoughFree = 2

func key(free int, slowStep uint8, sameZone bool, tie uint64) uint64 {
	k := uint64(min(free, enoughFree))<<freeBits | uint64(255-slowStep)<<slowBits | tie
	if sameZone {
		k |= zoneBit
	}
	return k
}

// ranking is a binary heap of the agents of a service by key, highest first. It
// is written out because container/heap would call through an interface four
// times per level; a decision may take 2 µs at 890 agents.
type ranking struct {
	class wire.Class
	items []item
}

type item struct {
	key    uint64
	agent  *agent
	member int
}

// best returns the agent with the highest key, or nil if none has room.
func (r *ranking) best() *agent {
	if len(r.items) == 0 || r.items[0].key == 0 {
		return nil
	}
	return r.items[0].agent
}

func (r *ranking) add(g *agent, m int) {
	r.items = append(r.items, item{agent: g, member: m})
	g.members[m].pos[r.class] = len(r.items) - 1
}

func (r *ranking) remove(i int) {
	last := len(r.items) - 1
	moved := r.items[last]
	r.items[last] = item{}
	r.items = r.items[:last]
	if i == last {
		return
	}
	r.put(i, moved)
	r.fix(i)
}

func (r *ranking) set(i int, k uint64) {
	if r.items[i].key != k {
		r.items[i].key = k
		r.fix(i)
	}
}

func (r *ranking) put(i int, it item) {
	r.items[i] = it
	it.agent.members[it.member].pos[r.class] = i
}

// fix restores the order after the key at i has changed.
func (r *ranking) fix(i int) {
	it := r.items[i]
	start := i
	for i > 0 {
		up := (i - 1) / 2
		if r.items[up].key >= it.key {
			break
		}
		r.put(i, r.items[up])
		i = up
	}
	for i >= start {
		down := 2*i + 1
		if down >= len(r.items) {
			break
		}
		if down+1 < len(r.items) && r.items[down+1].key > r.items[down].key {
			down++
		}
		if r.items[down].key <= it.key {
			break
		}
		r.put(i, r.items[down])
		i = down
	}
	r.put(i, it)
}
