// Package ownership decides which entry owns a key and whether a task of that
// key may start there.
//
// Input: rosters, agent registrations, handover and fence acknowledgements, and
// keys. Output: decisions. State: the newest roster, which members and agents
// have acknowledged which roster version, the keys that other members still
// hold, and the records of starts by incarnations that left. Rosters are
// immutable values; State is not safe for concurrent use.
package ownership
