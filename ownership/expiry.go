package ownership

import (
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

// expiryIndex holds information about keys, grouped by the second in which they
// expire, so that expiry does not scan all keys.
type expiryIndex map[int64]map[api.Key]*keyInfo

// keyInfo is what other entries and agents have reported about a key.
type keyInfo struct {
	holder  uint64        // incarnation that listed the key in a handover, or 0
	records []StartedTask // from fence acknowledgements, including ledger tombstones
}

func (x expiryIndex) find(k api.Key) *keyInfo { return x[k.Expires().Unix()][k] }

func (x expiryIndex) getOrCreate(k api.Key) *keyInfo {
	second := k.Expires().Unix()
	m := x[second]
	if m == nil {
		m = map[api.Key]*keyInfo{}
		x[second] = m
	}
	if m[k] == nil {
		m[k] = &keyInfo{}
	}
	return m[k]
}

func (x expiryIndex) expire(now time.Time) {
	for second := range x {
		if now.Unix() > second {
			delete(x, second)
		}
	}
}

// mergeRecord adds a record from a fence acknowledgement. A repeated or late
// acknowledgement does not turn a finished task back into a running one.
func (i *keyInfo) mergeRecord(t StartedTask) {
	for j := range i.records {
		o := &i.records[j]
		if o.Task == t.Task && o.Agent == t.Agent && o.Worker == t.Worker {
			if o.State == wire.StateRunning {
				o.State = t.State
			}
			return
		}
	}
	i.records = append(i.records, t)
}
