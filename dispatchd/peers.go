package dispatchd

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/intake"
	"github.com/sesamelift/sesamelift/link"
)

const (
	// peerRetryInterval is how long after a failed query another entry is queried again
	// while the store is unreachable. firstRetryInterval is used until this entry has a
	// configuration and has read the members from the store: it can do nothing without
	// them, and the other entry may be starting as well.
	peerRetryInterval  = 500 * time.Millisecond
	firstRetryInterval = 50 * time.Millisecond
	// minQueryInterval is the shortest time between two queries of one entry. Hundreds of
	// members that announce themselves are then passed on in a few replies.
	minQueryInterval = 100 * time.Millisecond
	// peerWait is how long another entry may delay its reply while it has nothing new.
	peerWait = time.Second
	// peerDialTimeout limits the time to connect to another entry: a host without power
	// answers nothing, and the first packet is repeated only after a second.
	peerDialTimeout = 100 * time.Millisecond
	// peerTimeout limits a query beyond the time that the other entry may wait.
	peerTimeout = 400 * time.Millisecond
	// maxPeerReplyBytes limits a reply, which can hold a configuration of thousands
	// of routes and 900 members.
	maxPeerReplyBytes = 8 << 20
	// maxMemberBytes limits a member row that is announced. Rows have about 200 bytes.
	maxMemberBytes = 64 << 10
	// maxPolledPeers limits the entries that are queried: entries of the directory are
	// added to the seeds up to this number. Seeds are queried even beyond it.
	maxPolledPeers = 5
)

// directoryReply is the reply to a query of another entry.
type directoryReply struct {
	ConfigVersion uint64 `json:"config_version"`
	Config        []byte `json:"config,omitempty"`
	// Members are encoded one by one, so that one that can't be decoded does not
	// hide the others. Those that have changed since the revision that the query names are
	// listed, or all if it names none of this entry's.
	Members []json.RawMessage `json:"members"`
	// MembersRevision identifies the state of the members.
	MembersRevision string `json:"members_revision,omitempty"`
	// Evacuations are set if the query names an older version.
	Evacuations *directory.Evacuations `json:"evacuations,omitempty"`
}

// directoryQuery says what the other entry knows already.
type directoryQuery struct {
	configVersion   string
	membersRevision string
	// evacuations is the known version of the evacuated zones, valid if asksEvacuations. An
	// entry of an earlier release doesn't name it, and would be sent the zones each time.
	evacuations     uint64
	asksEvacuations bool
	wait            time.Duration
}

// DirectoryHandler serves the directory and the configuration of this entry to
// other entries, accepts the member rows of agents that cannot reach the
// store, and cancels jobs about which other entries ask.
func (d *Dispatcher) DirectoryHandler() http.Handler {
	e := echo.New()
	e.GET(directory.Path, func(c echo.Context) error {
		q := directoryQuery{configVersion: c.QueryParam("config"), membersRevision: c.QueryParam("members")}
		if version, err := strconv.ParseUint(c.QueryParam("evacuations"), 10, 64); err == nil {
			q.evacuations, q.asksEvacuations = version, true
		}
		if ms, err := strconv.Atoi(c.QueryParam("wait_ms")); err == nil && ms > 0 {
			q.wait = time.Duration(min(ms, int(peerWait/time.Millisecond))) * time.Millisecond
		}
		reply, err := d.awaitReply(c.Request().Context(), q)
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, reply)
	})
	e.POST(directory.Path, func(c echo.Context) error {
		var m directory.Member
		reject := func(body []byte, err error) {
			// The address of the connection, not one that a header names: rejected rows are
			// remembered by it, and a header may have 28 KiB.
			sender, _, _ := net.SplitHostPort(c.Request().RemoteAddr)
			d.rejectMember("announced by "+sender, body, "its announcement", err)
		}
		err := intake.ReadBody(c.Request(), maxMemberBytes, func(body []byte) (err error) {
			if m, err = directory.UnmarshalMember(body); err != nil {
				reject(body, err)
			}
			return err
		})
		if errors.Is(err, intake.ErrTooLarge) {
			// Too large for a member, and rejected like anything else that is none.
			reject(nil, err)
			return c.NoContent(http.StatusBadRequest)
		}
		if status, ok := intake.Status(c.Response(), err); ok {
			return c.NoContent(status)
		}
		if err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		if d.mergeMembers([]directory.Member{m}, "announced by itself") > 0 {
			c.Response().Header().Set("Retry-After", strconv.Itoa(int(directory.AnnounceInterval/time.Second)))
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.POST(CancelPath, d.handleCancel)
	e.GET(CancelPath, d.handleCancelledList)
	return e
}

// awaitReply returns what a query does not know yet. While there is nothing, it waits for
// as long as the query allows.
func (d *Dispatcher) awaitReply(ctx context.Context, q directoryQuery) (*directoryReply, error) {
	timer := time.NewTimer(q.wait)
	defer timer.Stop()
	for waiting := q.wait > 0; ; {
		d.cache.mu.Lock()
		reply, err := d.cache.reply(d.opts.Incarnation, q)
		changed := d.cache.changed
		zonesChanged := q.asksEvacuations && q.evacuations < d.cache.evacuationsChangedAt
		d.cache.mu.Unlock()
		if err != nil || !waiting || len(reply.Config) > 0 || len(reply.Members) > 0 || zonesChanged {
			return reply, err
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
}

// reply returns the reply to a query.
func (c *directoryCache) reply(incarnation uint64, q directoryQuery) (*directoryReply, error) {
	prefix := formatVersion(incarnation) + "-"
	reply := &directoryReply{ConfigVersion: c.configVersion, MembersRevision: prefix + formatVersion(c.revision)}
	if q.configVersion != formatVersion(c.configVersion) {
		reply.Config = c.config
	}
	if q.asksEvacuations && q.evacuations < c.evacuations.Version {
		evacuations := c.evacuations
		reply.Evacuations = &evacuations
	}
	// A query that names no revision of this incarnation knows nothing yet.
	known := uint64(0)
	if revision, ok := strings.CutPrefix(q.membersRevision, prefix); ok {
		if n, err := strconv.ParseUint(revision, 10, 64); err == nil {
			known = n
		}
	}
	for name, m := range c.members {
		if known > 0 && c.changedAt[name] <= known {
			continue
		}
		encoded, err := json.Marshal(m)
		if err != nil {
			return nil, errors.Wrap(err, "encode member")
		}
		reply.Members = append(reply.Members, encoded)
	}
	return reply, nil
}

// pollPeers queries other entries while the store is unreachable, and until it has been
// read for the first time. Each is queried by a goroutine of its own.
func (d *Dispatcher) pollPeers(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{
		DialContext: link.Dialer(peerDialTimeout).DialContext, DisableCompression: true, IdleConnTimeout: 2 * time.Second,
	}}
	var wg sync.WaitGroup
	defer wg.Wait()
	var mu sync.Mutex
	polled := map[string]bool{}
	for {
		for _, address := range d.peersToPoll() {
			mu.Lock()
			started := polled[address]
			polled[address] = true
			mu.Unlock()
			if started {
				continue
			}
			wg.Go(func() {
				d.pollPeer(ctx, client, address)
				mu.Lock()
				delete(polled, address)
				mu.Unlock()
			})
		}
		if !sleep(ctx, d.retryInterval()) {
			return
		}
	}
}

// sleep waits for a duration and returns false if ctx ends before.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// retryInterval returns the time after which an entry is queried again that did not
// answer.
func (d *Dispatcher) retryInterval() time.Duration {
	d.cache.mu.Lock()
	defer d.cache.mu.Unlock()
	if d.cache.configVersion == 0 || !d.cache.membersRead {
		return firstRetryInterval
	}
	return peerRetryInterval
}

// peersToPoll returns the addresses of the entries to query; none while the store
// is reachable.
func (d *Dispatcher) peersToPoll() []string {
	d.cache.mu.Lock()
	defer d.cache.mu.Unlock()
	if !d.cache.storeFailing() {
		return nil
	}
	seen := map[string]bool{d.opts.DirectoryAddress: true, "": true}
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, s := range d.opts.Seeds {
		add(s)
	}
	for _, m := range d.cache.members {
		if len(addresses) < maxPolledPeers {
			add(m.Directory)
		}
	}
	return addresses
}

func (c *directoryCache) storeFailing() bool { return c.configReadFailing || c.membersReadFailing }

// pollPeer queries another entry until it does not answer or the store is reachable.
func (d *Dispatcher) pollPeer(ctx context.Context, client *http.Client, address string) {
	for {
		began := time.Now()
		if !d.queryPeer(ctx, client, address, peerWait) || !sleep(ctx, minQueryInterval-time.Since(began)) {
			return
		}
		d.cache.mu.Lock()
		failing := d.cache.storeFailing()
		d.cache.mu.Unlock()
		if !failing {
			return
		}
	}
}

// queryPeer merges what another entry knows; while that is nothing new, the other entry
// waits. It returns false if the entry does not
// answer: it may be down as well. The loss of the store is logged already.
func (d *Dispatcher) queryPeer(ctx context.Context, client *http.Client, address string, wait time.Duration) bool {
	d.cache.mu.Lock()
	version, revision, evacuations := d.cache.configVersion, d.cache.peerRevisions[address], d.cache.evacuations.Version
	d.cache.mu.Unlock()
	query := url.Values{"config": {formatVersion(version)}, "members": {revision}, "evacuations": {formatVersion(evacuations)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	reply, err := fetchDirectory(ctx, client, "http://"+address+directory.Path+"?"+query.Encode())
	if err != nil {
		return false
	}
	d.mergeMembers(d.decodeMembers(reply.Members, address), "")
	d.cache.mu.Lock()
	// If the table was read anew meanwhile, the next query has to ask for everything.
	if d.cache.peerRevisions[address] == revision {
		d.cache.peerRevisions[address] = reply.MembersRevision
	}
	d.cache.mu.Unlock()
	// The configuration may make this entry start tasks.
	d.mergeEvacuations(reply.Evacuations)
	if reply.ConfigVersion > version && len(reply.Config) > 0 {
		d.applyConfig(reply.Config, "entry at "+address)
	}
	return true
}

// decodeMembers returns those members of a reply that can be used.
func (d *Dispatcher) decodeMembers(encoded []json.RawMessage, from string) []directory.Member {
	members := make([]directory.Member, 0, len(encoded))
	for _, e := range encoded {
		m, err := directory.UnmarshalMember(e)
		if err != nil {
			d.rejectMember(m.Name+" from "+from, e, from, err)
			continue
		}
		members = append(members, m)
	}
	return members
}

func fetchDirectory(ctx context.Context, client *http.Client, url string) (*directoryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerWait+peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build directory request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "request directory of an entry")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("directory request: entry answered with HTTP status %d", resp.StatusCode)
	}
	var reply directoryReply
	return &reply, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxPeerReplyBytes)).Decode(&reply), "decode directory reply")
}
