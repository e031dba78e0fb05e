// Package ownership decides which entry owns a key and whether tasks of that
// key may start there. Keys are assigned to entries by rendezvous hashing over
// the members of the roster.
//
// The input is rosters, agent registrations, handover and fence
// acknowledgements, and keys; the output is decisions. A Resolver keeps the newest
// roster, the roster versions that members and agents have acknowledged, the
// keys that other members still hold, and the tasks started by incarnations that
// left. Rosters are immutable. A Resolver is not safe for concurrent use.
package ownership
