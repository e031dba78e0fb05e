// Package directory provides service discovery and configuration: it registers
// processes as members in the platform's store, and reads the members and the
// configuration from there. While the store is unavailable, entries get both from
// each other (package dispatchd).
//
// Input: rows of the store. Output: changes to the members and the configuration,
// rows of the store. State: the versions read so far.
package directory

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// ErrHistoryTruncated is returned by Store.Changes if the store no longer keeps the
// changes since the requested version. The table must then be read in full.
var ErrHistoryTruncated = errors.New("store no longer keeps the changes since the requested version")

// Row is the current state of a row of the store. Deleted is set if the row was
// removed. Err is set if the row can't be read; Value then holds its encoded form.
type Row struct {
	Key     string
	Value   []byte
	Deleted bool
	Err     error
}

// Store is the part of the platform's store that the directory uses.
type Store interface {
	// Rows returns all rows of a table and the version of the store.
	Rows(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns the rows that changed after a version and the version of the
	// store. If there are none it waits for up to wait. It returns ErrHistoryTruncated
	// if the changes are no longer kept.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
	// Row returns the value of one row; found is false if the row does not exist.
	Row(ctx context.Context, table, key string) (value []byte, found bool, err error)
	// Put writes a row of a table that belongs to sesamelift.
	Put(ctx context.Context, table, key string, value []byte) error
	// Remove removes a row of a table that belongs to sesamelift.
	Remove(ctx context.Context, table, key string) error
	// CloseIdleConnections makes further calls use new connections.
	CloseIdleConnections()
}

// Path is the path at which entries serve their copy of the directory to other entries,
// and accept announcements of members.
const Path = "/directory/v1"

// MembersTable is the table in which processes register themselves.
const MembersTable = "sesamelift-members"

// WorkersTable is the table of the last announcement of each agent's worker. An
// agent that restarts reads it instead of waiting for the next announcement.
const WorkersTable = "sesamelift-workers"

// Roles of members.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Member describes a registered process.
type Member struct {
	Name string `json:"name"`
	Role string `json:"role"`
	// Address is the address at which entries connect to an agent. Directory is the
	// address at which an entry serves its members and configuration to other entries.
	Address   string `json:"address,omitempty"`
	Directory string `json:"directory,omitempty"`
}

const (
	// A read for changes is repeated after the attempt interval, so that a lost connection
	// is detected within it. The store may delay its reply, while there are no changes, for
	// pollMargin less. A slow store may answer until maxPollMargin after that.
	pollMargin    = 500 * time.Millisecond
	maxPollMargin = 4 * time.Second
	// firstReadDelay is the time after which a read of a whole table is repeated. A
	// process that has just started can do nothing without it.
	firstReadDelay = 200 * time.Millisecond
	// loadTimeout bounds the read of a worker's stored announcement, which is repeated
	// after loadDelay: the worker announces itself every one or two seconds anyway.
	loadTimeout = 3 * time.Second
	loadDelay   = 500 * time.Millisecond
	// firstPutTimeout and maxPutTimeout bound the first and the later writes of a
	// member's row. A write is repeated after the attempt interval even if it has no answer.
	firstPutTimeout = 400 * time.Millisecond
	maxPutTimeout   = 4 * time.Second
	// announceDelay is how long the store may take for the row of a member before the
	// member announces itself to entries, and the pause after all of them were tried in
	// vain. The store answers within milliseconds.
	announceDelay = 50 * time.Millisecond
	// seedDialTimeout bounds the time to connect to an entry, announceTimeout an
	// announcement: an entry on a small host to which hundreds of members announce
	// themselves at once takes some time for each.
	seedDialTimeout = 75 * time.Millisecond
	announceTimeout = 500 * time.Millisecond
	// AnnounceInterval is the time between two announcements to entries, which forget a
	// member that the store does not list.
	AnnounceInterval = 3 * time.Second
	// callTimeout bounds all other calls.
	callTimeout = 1500 * time.Millisecond
	// refreshInterval is the time between two writes of a member's row. 890 agents
	// then make three writes a second.
	refreshInterval = 5 * time.Minute
	// UnreachableTimeout is how long a member must have been unreachable for an entry
	// before the entry removes its row. A member that is still running writes the
	// row again within refreshInterval.
	UnreachableTimeout = 15 * time.Minute
	// retryMin and retryMax bound the delay after a failed call. Refused calls also
	// have a cost, so they are not repeated immediately.
	retryMin = 100 * time.Millisecond
	retryMax = 400 * time.Millisecond
)

var (
	// firstReadHedge makes a call every firstReadDelay until one is answered.
	firstReadHedge = newHedge(firstReadDelay, callTimeout)
	loadHedge      = newHedge(loadDelay, callTimeout)
)

// changesRead returns how changes are read with the given attempt interval, and how long the
// store may delay its reply while there are none.
func changesRead(attemptInterval time.Duration) (h hedge, wait time.Duration) {
	wait = attemptInterval - min(pollMargin, attemptInterval/3)
	return newHedge(attemptInterval, wait+maxPollMargin), wait
}

// errUnanswered is logged when a read is repeated because it has no answer yet.
var errUnanswered = errors.New("no answer in time")

// Watch reads a table and then its changes until ctx ends. It calls apply with the
// rows that it has read; full says that they are the whole table, and version is that of
// the store at which they were read. The version never decreases between calls, except with
// a full read after the first, which may be older than the read before. It calls setFailing
// with true when a read fails or has no answer in time, and with false after each read
// that succeeds. attemptInterval is the longest time between two reads, also while earlier
// ones have no answer.
func Watch(ctx context.Context, s Store, table string, attemptInterval time.Duration, log *decisions.Log, apply func(rows []Row, full bool, version uint64), setFailing func(bool)) {
	w := watcher{store: s, table: table, log: log, setFailing: setFailing}
	w.changesHedge, w.changesWait = changesRead(attemptInterval)
	for ctx.Err() == nil {
		rows, full, err := w.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.recordFailure(err)
			sleep(ctx, w.retryDelay())
			continue
		}
		w.recordSuccess()
		if full || len(rows) > 0 {
			apply(rows, full, w.version)
		}
	}
}

type watcher struct {
	store      Store
	table      string
	log        *decisions.Log
	setFailing func(bool)
	// changesHedge and changesWait say how changes are read.
	changesHedge hedge
	changesWait  time.Duration
	// version is the version up to which the table has been read, or 0 if it must be
	// read in full.
	version uint64
	// failures is the number of reads since the last success that failed or had no
	// answer in time.
	failures int
}

// reading is the result of a read.
type reading struct {
	rows    []Row
	version uint64
	// truncated says that the store no longer keeps the changes.
	truncated bool
}

// poll reads the table if version is 0, and its changes otherwise.
func (w *watcher) poll(ctx context.Context) (rows []Row, full bool, err error) {
	unanswered := func() {
		// The connections that are not in use may be silent as well.
		w.store.CloseIdleConnections()
		w.recordFailure(errUnanswered)
	}
	after := w.version
	if after == 0 {
		r, err := run(ctx, firstReadHedge, func(ctx context.Context) (r reading, err error) {
			r.rows, r.version, err = w.store.Rows(ctx, w.table)
			return r, err
		}, unanswered)
		if err == nil {
			w.version = r.version
		}
		return r.rows, true, err
	}
	r, err := run(ctx, w.changesHedge, func(ctx context.Context) (r reading, err error) {
		r.rows, r.version, err = w.store.Changes(ctx, w.table, after, w.changesWait)
		if errors.Is(err, ErrHistoryTruncated) {
			// An answer, for which no other call is waited for.
			return reading{truncated: true}, nil
		}
		return r, err
	}, unanswered)
	if r.truncated {
		w.log.Add(decisions.Info("store no longer keeps the changes, reading the whole table", "table", w.table, "version", w.version))
		w.version = 0
		return nil, false, nil
	}
	if err == nil {
		w.version = max(w.version, r.version)
	}
	return r.rows, false, err
}

// recordFailure logs when the store becomes unavailable.
func (w *watcher) recordFailure(err error) {
	if w.failures++; w.failures == 1 {
		w.log.Add(decisions.Warn("store unavailable", "table", w.table, "version", w.version, "error", err.Error()))
	}
	w.setFailing(true)
}

// recordSuccess logs when the store becomes available again.
func (w *watcher) recordSuccess() {
	if w.failures > 0 {
		w.log.Add(decisions.Info("store available again", "table", w.table, "version", w.version, "failures", w.failures))
	}
	w.failures = 0
	w.setFailing(false)
}

// retryDelay returns the delay after a failed read. It is short until the table has been
// read once.
func (w *watcher) retryDelay() time.Duration {
	if w.version == 0 {
		return backoffDelay(1)
	}
	return backoffDelay(w.failures)
}

// backoffDelay returns a random delay that grows with the number of failures.
func backoffDelay(failures int) time.Duration {
	limit := min(retryMin<<min(failures, 4), retryMax)
	return limit/2 + rand.N(limit/2)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Register writes the row of a member and rewrites it every refreshInterval, since
// an entry that could not reach the member may have removed it. Failed writes are
// retried, at the latest after attemptInterval; meanwhile the member announces itself to
// seeds, the addresses of entries. It returns when ctx ends.
func Register(ctx context.Context, s Store, m Member, seeds []string, attemptInterval time.Duration, log *decisions.Log) {
	value, err := json.Marshal(m)
	if err != nil {
		log.Add(decisions.Warn("cannot encode the member row", "error", err.Error()))
		return
	}
	for ctx.Err() == nil {
		announceCtx, stop := context.WithCancel(ctx)
		var announcing sync.WaitGroup
		announcing.Go(func() { announceRepeatedly(announceCtx, seeds, value) })
		for failures := 1; ctx.Err() == nil; failures++ {
			err := putMember(ctx, s, m.Name, value, putTimeout(failures), attemptInterval)
			if err == nil {
				log.Add(decisions.Info("registered in the directory", "name", m.Name, "address", m.Address, "failures", failures-1))
				break
			}
			if failures == 1 {
				log.Add(decisions.Warn("cannot write the member row, retrying", "error", err.Error()))
			}
			sleep(ctx, backoffDelay(failures))
		}
		stop()
		announcing.Wait()
		sleep(ctx, refreshInterval)
	}
}

// putMember writes the row of a member. A write that may take longer than attemptInterval is
// repeated meanwhile. Repeated writes are equal, so that it doesn't matter which of them is
// the last.
func putMember(ctx context.Context, s Store, name string, value []byte, timeout, attemptInterval time.Duration) error {
	if timeout <= attemptInterval {
		return putWithTimeout(ctx, s, MembersTable, name, value, timeout)
	}
	_, err := run(ctx, newHedge(attemptInterval, maxPutTimeout), func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.Put(ctx, MembersTable, name, value)
	}, s.CloseIdleConnections)
	return err
}

// putTimeout returns the timeout of a write of the member row. It is short at first,
// since a store that was silent never answers the calls that it received meanwhile, and
// grows for a store that is slow.
func putTimeout(failures int) time.Duration {
	return min(firstPutTimeout<<min(failures-1, 8), maxPutTimeout)
}

// announceRepeatedly announces a member that the store has not taken after announceDelay,
// every AnnounceInterval until ctx ends.
func announceRepeatedly(ctx context.Context, seeds []string, member []byte) {
	transport := &http.Transport{DialContext: link.Dialer(seedDialTimeout).DialContext, DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: announceTimeout}
	for sleep(ctx, announceDelay); ctx.Err() == nil; sleep(ctx, AnnounceInterval) {
		announce(ctx, client, seeds, member)
	}
}

// announce sends the encoded row of a member to entries, one after the other in random
// order and again and again, until one of them has accepted it or ctx ends. That entry
// passes it on to the others. An entry may be starting as well, and a host without power
// answers nothing, so that little time is spent on each that doesn't accept connections.
// One that answers with Retry-After is not tried before.
func announce(ctx context.Context, client *http.Client, seeds []string, member []byte) {
	order := rand.Perm(len(seeds))
	notBefore := make([]time.Time, len(seeds))
	for ctx.Err() == nil {
		for _, i := range order {
			if time.Now().Before(notBefore[i]) {
				continue
			}
			retryAfter, err := postMember(ctx, client, seeds[i], member)
			if err == nil {
				return
			}
			notBefore[i] = time.Now().Add(retryAfter)
		}
		sleep(ctx, announceDelay)
	}
}

// postMember returns the time in which the entry should not be tried again after an error.
func postMember(ctx context.Context, client *http.Client, seed string, member []byte) (retryAfter time.Duration, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+seed+Path, bytes.NewReader(member))
	if err != nil {
		return 0, errors.Wrap(err, "build announcement")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "announce to an entry")
	}
	if resp.StatusCode != http.StatusOK {
		err = errors.Errorf("announce to an entry: status %d", resp.StatusCode)
		if seconds, parseErr := strconv.Atoi(resp.Header.Get("Retry-After")); parseErr == nil && seconds > 0 {
			retryAfter = time.Duration(min(seconds, int(AnnounceInterval/time.Second))) * time.Second
		}
	}
	return retryAfter, cmp.Or(err, resp.Body.Close())
}

// RemoveMember removes the row of a member that has been unreachable for
// UnreachableTimeout. Several entries may do so concurrently.
func RemoveMember(ctx context.Context, s Store, name string, log *decisions.Log) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.Remove(ctx, MembersTable, name); err != nil {
		log.Add(decisions.Warn("cannot remove the row of an unreachable member", "name", name, "error", err.Error()))
		return
	}
	log.Add(decisions.Info("removed the row of an unreachable member", "name", name, "unreachable_s", UnreachableTimeout.Seconds()))
}

func putWithTimeout(ctx context.Context, s Store, table, key string, value []byte, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Put(ctx, table, key, value)
}

// LoadAnnouncement decodes the last stored announcement of an agent's worker into
// v. It returns false if there is none, if it is malformed or if the store is
// unavailable; the agent then waits for the next announcement.
func LoadAnnouncement(ctx context.Context, s Store, agent string, v any, log *decisions.Log) bool {
	type row struct {
		value []byte
		found bool
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	r, err := run(ctx, loadHedge, func(ctx context.Context) (r row, err error) {
		r.value, r.found, err = s.Row(ctx, WorkersTable, agent)
		return r, err
	}, func() {})
	if err == nil && r.found {
		err = json.Unmarshal(r.value, v)
	}
	if err != nil {
		log.Add(decisions.Warn("cannot read the stored announcement of the worker", "error", err.Error()))
		return false
	}
	return r.found
}

// SaveAnnouncements stores the announcements that it receives from changes until
// ctx ends. After a failed write it retries with the most recent announcement.
func SaveAnnouncements(ctx context.Context, s Store, agent string, changes <-chan any, log *decisions.Log) {
	for {
		var v any
		select {
		case <-ctx.Done():
			return
		case v = <-changes:
		}
		for failures := 1; ctx.Err() == nil; failures++ {
			select {
			case v = <-changes:
			default:
			}
			value, err := json.Marshal(v)
			if err == nil {
				err = putWithTimeout(ctx, s, WorkersTable, agent, value, callTimeout)
			}
			if err == nil {
				break
			}
			if failures == 1 {
				log.Add(decisions.Warn("cannot store the announcement of the worker, retrying", "error", err.Error()))
			}
			sleep(ctx, backoffDelay(failures))
		}
	}
}
