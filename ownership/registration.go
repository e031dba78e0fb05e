package ownership

import "time"

// Registration is the value of platform.PrefixAgents + worker. The row of a
// worker whose agent left stays for at least Retention after LeftAt.
type Registration struct {
	Worker      string `json:"worker"`
	Incarnation uint64 `json:"incarnation"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	// ReplacedAt is when this incarnation replaced an earlier one, whose ledger
	// is lost. Zero for the first incarnation of a worker.
	ReplacedAt time.Time `json:"replaced_at,omitzero"`
	// LeftAt is when the agent left or was retired. Zero while it serves.
	LeftAt time.Time `json:"left_at,omitzero"`
}

// lost returns the latest time at which a ledger of the worker was lost, or the
// zero time.
func (r *Registration) lost() time.Time {
	if r.LeftAt.After(r.ReplacedAt) {
		return r.LeftAt
	}
	return r.ReplacedAt
}
