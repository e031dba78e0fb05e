package ownership

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Registration is the table row of an agent, stored under
// table.PrefixAgents + worker. The row of a worker whose agent left must be kept for
// at least Retention after LeftAt.
type Registration struct {
	Worker      string `json:"worker"`
	Incarnation uint64 `json:"incarnation"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	// ReplacedAt is the time at which this incarnation replaced an earlier one,
	// whose ledger is lost. It is zero for the first incarnation of a worker.
	ReplacedAt time.Time `json:"replaced_at,omitzero"`
	// LeftAt is the time at which the agent left or was retired. It is zero while
	// the agent serves.
	LeftAt time.Time `json:"left_at,omitzero"`
}

// DecodeRegistration decodes and checks the registration of a worker. Another writer may
// have left anything in the row.
func DecodeRegistration(worker string, value []byte) (Registration, error) {
	var r Registration
	if err := json.Unmarshal(value, &r); err != nil {
		return Registration{}, errors.Wrapf(err, "decode registration of worker %q", worker)
	}
	if r.Worker != worker {
		return Registration{}, errors.Errorf("registration of worker %q names worker %.40q", worker, r.Worker)
	}
	if r.Incarnation == 0 {
		return Registration{}, errors.Errorf("registration of worker %q has no incarnation", worker)
	}
	return r, nil
}

// ledgerLostAt returns the latest time at which a ledger of the worker was lost,
// or the zero time.
func (r *Registration) ledgerLostAt() time.Time {
	if r.LeftAt.After(r.ReplacedAt) {
		return r.LeftAt
	}
	return r.ReplacedAt
}
