package dispatchd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/link"
)

const (
	// peerInterval is how often other entries are asked while the store is away,
	// so that a configuration is in force within two seconds all the same.
	peerInterval = 500 * time.Millisecond
	// peerTimeout bounds one question.
	peerTimeout = 400 * time.Millisecond
	// maxPeerReply bounds an answer, in bytes: a configuration of thousands of
	// routes and 900 members.
	maxPeerReply = 8 << 20
	// DirectoryPath is where entries answer one another.
	DirectoryPath = "/directory/v1"
)

// knowledge is what an entry has read from the store or from other entries.
type knowledge struct {
	mu      sync.Mutex
	members map[string]directory.Member
	// config is the configuration's value as it was read.
	config        []byte
	configVersion uint64
	membersLost   bool
	configLost    bool
}

// shared is what one entry tells another.
type shared struct {
	ConfigVersion uint64             `json:"config_version"`
	Config        []byte             `json:"config,omitempty"`
	Members       []directory.Member `json:"members"`
}

func (d *Dispatcher) watchMembers(ctx context.Context) {
	directory.Watch(ctx, d.o.Store, directory.MembersTable, d.o.Log, func(rows []directory.Row, full bool) {
		d.known.mu.Lock()
		if full {
			clear(d.known.members)
		}
		for _, r := range rows {
			if r.Deleted {
				delete(d.known.members, r.Key)
				continue
			}
			m, err := directory.DecodeMember(r)
			if err != nil {
				d.o.Log.Add(decisions.Warn("member can't be read, the others stay in force", "row", r.Key, "error", err.Error()))
				continue
			}
			d.known.members[m.Name] = m
		}
		d.known.mu.Unlock()
		d.membersChanged()
	}, func(lost bool) {
		d.known.mu.Lock()
		d.known.membersLost = lost
		d.known.mu.Unlock()
	})
}

func (d *Dispatcher) membersChanged() {
	d.known.mu.Lock()
	members := make(map[string]directory.Member, len(d.known.members))
	for n, m := range d.known.members {
		members[n] = m
	}
	d.known.mu.Unlock()
	d.post(func(time.Duration) { d.setMembers(members) })
}

func (d *Dispatcher) watchConfig(ctx context.Context) {
	directory.Watch(ctx, d.o.Store, d.o.ConfigTable, d.o.Log, func(rows []directory.Row, _ bool) {
		for _, r := range rows {
			if r.Key == d.o.ConfigKey && !r.Deleted {
				d.adoptConfig(r.Value, "store")
			}
		}
	}, func(lost bool) {
		d.known.mu.Lock()
		d.known.configLost = lost
		d.known.mu.Unlock()
	})
}

// adoptConfig puts a configuration in force if it can be read and is newer.
func (d *Dispatcher) adoptConfig(value []byte, from string) {
	c, err := d.o.DecodeConfig(value)
	if err != nil {
		d.o.Log.Add(decisions.Warn("configuration can't be read, the last one stays in force", "from", from, "error", err.Error()))
		return
	}
	if !d.routes.Adopt(c) {
		return
	}
	d.known.mu.Lock()
	if c.Version > d.known.configVersion {
		d.known.config, d.known.configVersion = value, c.Version
	}
	d.known.mu.Unlock()
	d.o.Log.Add(decisions.Info("configuration in force", "version", c.Version, "queues", len(c.Queues), "from", from))
}

// DirectoryHandler tells other entries what this one knows, and takes the
// entries of agents that can't reach the store.
func (d *Dispatcher) DirectoryHandler() http.Handler {
	e := echo.New()
	e.GET(DirectoryPath, func(c echo.Context) error {
		d.known.mu.Lock()
		defer d.known.mu.Unlock()
		s := shared{ConfigVersion: d.known.configVersion}
		if c.QueryParam("config") != formatVersion(d.known.configVersion) {
			s.Config = d.known.config
		}
		for _, m := range d.known.members {
			s.Members = append(s.Members, m)
		}
		return c.JSON(http.StatusOK, s)
	})
	e.POST(DirectoryPath, func(c echo.Context) error {
		var m directory.Member
		if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxPeerReply)).Decode(&m); err != nil || m.Name == "" {
			return c.NoContent(http.StatusBadRequest)
		}
		d.learn([]directory.Member{m}, "announced by itself")
		return c.NoContent(http.StatusOK)
	})
	return e
}

// learn adds members that aren't known yet, and replaces the addresses of those
// that announce themselves.
func (d *Dispatcher) learn(members []directory.Member, how string) {
	changed := false
	d.known.mu.Lock()
	for _, m := range members {
		if old, ok := d.known.members[m.Name]; !ok || how != "" && old != m {
			d.known.members[m.Name] = m
			changed = true
		}
	}
	d.known.mu.Unlock()
	if changed {
		d.membersChanged()
	}
}

// askPeers asks other entries while the store is away.
func (d *Dispatcher) askPeers(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{
		DialContext: link.Dialer(peerTimeout).DialContext, DisableCompression: true, IdleConnTimeout: 2 * time.Second,
	}}
	ticker := time.NewTicker(peerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, address := range d.peersToAsk() {
			go d.askPeer(ctx, client, address)
		}
	}
}

func (d *Dispatcher) peersToAsk() []string {
	d.known.mu.Lock()
	defer d.known.mu.Unlock()
	if !d.known.configLost && !d.known.membersLost {
		return nil
	}
	asked := map[string]bool{d.o.DirectoryAddress: true, "": true}
	var addresses []string
	add := func(address string) {
		if !asked[address] {
			asked[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, s := range d.o.Seeds {
		add(s)
	}
	for _, m := range d.known.members {
		if len(addresses) < maxPeersAsked {
			add(m.Directory)
		}
	}
	return addresses
}

// maxPeersAsked bounds the entries that are asked at a time.
const maxPeersAsked = 5

func (d *Dispatcher) askPeer(ctx context.Context, client *http.Client, address string) {
	d.known.mu.Lock()
	version := d.known.configVersion
	d.known.mu.Unlock()
	s, err := fetchShared(ctx, client, "http://"+address+DirectoryPath+"?config="+formatVersion(version))
	if err != nil {
		// Peers may be down as well; the store's loss is logged, and the next
		// round asks again.
		return
	}
	d.learn(s.Members, "")
	if s.ConfigVersion > version && len(s.Config) > 0 {
		d.adoptConfig(s.Config, "entry at "+address)
	}
}

func fetchShared(ctx context.Context, client *http.Client, url string) (*shared, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build question to an entry")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "ask an entry")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("entry answered status %d", resp.StatusCode)
	}
	var s shared
	return &s, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxPeerReply)).Decode(&s), "decode answer of an entry")
}
