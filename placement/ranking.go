package placement

import "github.com/sesamelift/sesamelift/wire"

// Layout of a ranking key from the highest bit: free slots, inverted slowdown step
// (see health.slowdownStep), same zone, random tie-break. Key 0 means that the agent
// must not get a task.
const (
	tieBits       = 24
	zoneBit       = 1 << tieBits
	slowdownShift = tieBits + 1
	freeShift     = slowdownShift + 8
	tieMask       = zoneBit - 1
)

// maxRankedFree caps the free slots in a ranking key. Among agents with at least
// this many, the faster one is preferred. One slot then remains free after the
// start, for a start of another entry that is not yet in a report.
const maxRankedFree = 2

func rankKey(free int, slowdownStep uint8, sameZone bool, tie uint64) uint64 {
	k := uint64(min(free, maxRankedFree))<<freeShift | uint64(255-slowdownStep)<<slowdownShift | tie
	if sameZone {
		k |= zoneBit
	}
	return k
}

// ranking is a binary heap of the agents of a service by key, highest first. It
// does not use container/heap, which makes four interface calls per level: the
// limit for a decision is 2 µs with 890 agents.
type ranking struct {
	class wire.Class
	items []rankItem
}

type rankItem struct {
	key        uint64
	agent      *agent
	membership int // index in agent.memberships
}

// best returns the agent with the highest key, or nil if all keys are 0.
func (r *ranking) best() *agent {
	if len(r.items) == 0 || r.items[0].key == 0 {
		return nil
	}
	return r.items[0].agent
}

func (r *ranking) add(g *agent, m int) {
	r.items = append(r.items, rankItem{agent: g, membership: m})
	g.memberships[m].pos[r.class] = len(r.items) - 1
}

func (r *ranking) remove(i int) {
	last := len(r.items) - 1
	moved := r.items[last]
	r.items[last] = rankItem{}
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

// put stores an item at index i and records the index in the agent's membership.
func (r *ranking) put(i int, it rankItem) {
	r.items[i] = it
	it.agent.memberships[it.membership].pos[r.class] = i
}

// fix restores the heap order after the key at index i has changed.
func (r *ranking) fix(i int) {
	it := r.items[i]
	start := i
	for i > 0 {
		parent := (i - 1) / 2
		if r.items[parent].key >= it.key {
			break
		}
		r.put(i, r.items[parent])
		i = parent
	}
	for i >= start {
		child := 2*i + 1
		if child >= len(r.items) {
			break
		}
		if child+1 < len(r.items) && r.items[child+1].key > r.items[child].key {
			child++
		}
		if r.items[child].key <= it.key {
			break
		}
		r.put(i, r.items[child])
		i = child
	}
	r.put(i, it)
}

// rankTerms returns the terms of a key that isn't 0.
func rankTerms(k uint64) (free int, slowdownStep int, sameZone bool) {
	return int(k >> freeShift), int(255 - uint8(k>>slowdownShift)), k&zoneBit != 0
}
