// Package ownership decides which entry owns a key and whether tasks of that
// key may start there. Keys are assigned to entries by rendezvous hashing over
// the members of the roster, the versioned list of the entries. An entry or
// agent gets a new incarnation number each time it is started.
//
// Before it starts tasks of a key, the owner must know which of them earlier owners
// have started. An earlier owner that is still a member lists the keys that it
// holds; this is a handover. For an incarnation that left the roster, each agent
// refuses its further starts and reports the earlier ones; this is a fence.
//
// The input is rosters, agent registrations, handover and fence
// acknowledgements, and keys; the output is decisions. A Resolver keeps the newest
// roster, the roster versions that members and agents have acknowledged, the
// keys that other members still hold, and the tasks started by incarnations that
// left. Rosters are immutable. A Resolver is not safe for concurrent use.
package ownership
