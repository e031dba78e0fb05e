package dispatchd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/directory"
)

// oddMembers are entries that another writer could leave among the members.
var oddMembers = []string{
	`{"name":"odd","role":"agent","address":"10.1.0.9:0"}`,
	`{"name":"odd","role":"agent","address":"10.1.0.9:65536"}`,
	`{"name":"odd","role":"agent","address":":7720"}`,
	`{"name":"odd","role":"king","address":"10.1.0.9:7720"}`,
	`{"name":"odd","role":"agent","address":18446744073709551616}`,
	`{"name":"odd","role":"agent","address":1e400}`,
	`{"role":"agent","address":"10.1.0.9:7720"}`,
	`[]`, `null`, `7`,
	`{"name":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
}

// Guards against one odd member in the reply of another entry that hides the others, is
// dialed, or is passed on.
func TestOddMembersInTheReplyOfAnEntry(t *testing.T) {
	for _, odd := range oddMembers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"config_version":3,"members":[` + odd + `,{"name":"a1","role":"agent","address":"10.1.0.1:7720"}]}`))
		}))
		d := newTestDispatcher(t)
		for range 3 {
			d.queryPeer(context.Background(), server.Client(), strings.TrimPrefix(server.URL, "http://"), 0)
		}
		server.Close()
		qt.Check(t, d.cache.members, qt.DeepEquals, map[string]directory.Member{
			"a1": {Name: "a1", Role: directory.RoleAgent, Address: "10.1.0.1:7720"},
		}, qt.Commentf("%.100s", odd))
		qt.Check(t, d.opts.Log.Waiting(), qt.Equals, 1, qt.Commentf("%.100s", odd))
	}
}

// Guards against an announcement to an entry that adds an odd member, or ends the entry.
func TestOddMembersThatAnnounceThemselves(t *testing.T) {
	d := newTestDispatcher(t)
	handler := d.DirectoryHandler()
	post := func(body string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, directory.Path, strings.NewReader(body)))
		return w.Code
	}
	for _, odd := range append(oddMembers, "", "\xff\xfe", strings.Repeat(`{"name":`, 20000)) {
		qt.Check(t, post(odd), qt.Equals, http.StatusBadRequest, qt.Commentf("%.100s", odd))
	}
	qt.Assert(t, d.cache.members, qt.HasLen, 0)
	qt.Assert(t, post(`{"name":"a1","role":"agent","address":"10.1.0.1:7720"}`), qt.Equals, http.StatusOK)
	qt.Assert(t, d.cache.members, qt.HasLen, 1)

	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, directory.Path, nil))
	var reply directoryReply
	qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &reply), qt.IsNil)
	qt.Assert(t, d.decodeMembers(reply.Members, "itself"), qt.HasLen, 1)
}

// Guards against a member that is lost because another writer has overwritten its row,
// and against other rows of the table that are lost with it.
func TestOddRowKeepsTheLastUsableMember(t *testing.T) {
	d := newTestDispatcher(t)
	row := func(name string) directory.Row {
		return directory.Row{Key: name, Value: fmt.Appendf(nil, `{"name":%q,"role":"agent","address":"10.1.0.1:7720"}`, name)}
	}
	names := func() int { return len(d.cache.members) }
	d.applyMembers([]directory.Row{row("a1"), row("a2")}, true, 1)
	qt.Assert(t, names(), qt.Equals, 2)
	for _, full := range []bool{false, true, true} {
		d.applyMembers([]directory.Row{{Key: "a1", Value: []byte(strings.Repeat("[", 20000))}, row("a2"), {Key: "a3", Value: []byte("{}")}}, full, 1)
		qt.Assert(t, names(), qt.Equals, 2)
		qt.Assert(t, d.cache.members["a1"].Address, qt.Equals, "10.1.0.1:7720")
	}
	qt.Assert(t, d.opts.Log.Waiting(), qt.Equals, 2, qt.Commentf("one line for each odd row"))
	d.applyMembers([]directory.Row{{Key: "a1", Deleted: true}}, false, 1)
	qt.Assert(t, names(), qt.Equals, 1)
}

// Load pattern: all entries of a large fleet ask the seeds for members five times a second
// while the store is silent. Guards against members that are sent again and again, and
// against changes that the asking entry misses.
func TestUnchangedMembersAreSentOnce(t *testing.T) {
	asked := newTestDispatcher(t)
	replies := 0
	handler := asked.DirectoryHandler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		if strings.Contains(recorder.Body.String(), "10.1.0.1") {
			replies++
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	asking := newTestDispatcher(t)
	poll := func() {
		asking.queryPeer(context.Background(), server.Client(), strings.TrimPrefix(server.URL, "http://"), 0)
	}
	member := func(name string) directory.Member {
		return directory.Member{Name: name, Role: directory.RoleAgent, Address: "10.1.0.1:7720"}
	}
	for i, name := range []string{"a1", "a2"} {
		asked.mergeMembers([]directory.Member{member(name)}, "announced by itself")
		for range 4 {
			poll()
		}
		qt.Assert(t, asking.cache.members, qt.HasLen, i+1)
		qt.Assert(t, replies, qt.Equals, i+1)
	}
	// An entry that has read the table anew asks for everything.
	asking.applyMembers(nil, true, 1)
	qt.Assert(t, asking.cache.members, qt.HasLen, 0)
	poll()
	qt.Assert(t, asking.cache.members, qt.HasLen, 2)
}

// Load pattern: hundreds of agents start while the store is silent, and each entry asks the
// seeds for them. Guards against an entry that learns of a new member only with its next
// query, and against replies that repeat what the entry knows.
func TestQueryIsAnsweredWhenAMemberIsNew(t *testing.T) {
	asked := newTestDispatcher(t)
	server := httptest.NewServer(asked.DirectoryHandler())
	defer server.Close()
	member := func(name string) directory.Member {
		return directory.Member{Name: name, Role: directory.RoleAgent, Address: "10.1.0.1:7720"}
	}
	asked.mergeMembers([]directory.Member{member("a1"), member("a2")}, "announced by itself")
	ctx := context.Background()
	first, err := asked.awaitReply(ctx, directoryQuery{configVersion: "0"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first.Members, qt.HasLen, 2)
	answered := make(chan *directoryReply)
	go func() {
		reply, err := asked.awaitReply(ctx, directoryQuery{configVersion: "0", membersRevision: first.MembersRevision, wait: time.Hour})
		qt.Check(t, err, qt.IsNil)
		answered <- reply
	}()
	select {
	case <-answered:
		t.Fatal("answered although nothing is new")
	case <-time.After(20 * time.Millisecond):
	}
	asked.mergeMembers([]directory.Member{member("a2"), member("a3")}, "announced by itself")
	second := <-answered
	qt.Assert(t, second.Members, qt.HasLen, 1)
	qt.Assert(t, string(second.Members[0]), qt.Contains, "a3")

	// The revision of another incarnation says nothing about this one.
	restarted, err := asked.awaitReply(ctx, directoryQuery{configVersion: "0", membersRevision: "1-2", wait: time.Hour})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, restarted.Members, qt.HasLen, 3)
}

// Guards against members that are lost because the table is read anew while a query that
// asks for changes only is under way.
func TestQueryBesideAFullRead(t *testing.T) {
	asked, asking := newTestDispatcher(t), newTestDispatcher(t)
	handler := asked.DirectoryHandler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("members") != "" {
			asking.applyMembers(nil, true, 1)
		}
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	asked.mergeMembers([]directory.Member{{Name: "a1", Role: directory.RoleAgent, Address: "10.1.0.1:7720"}}, "announced by itself")
	for range 3 {
		asking.queryPeer(context.Background(), server.Client(), strings.TrimPrefix(server.URL, "http://"), 0)
	}
	qt.Assert(t, asking.cache.members, qt.HasLen, 1)
}

// Guards against a member that entries learn of only after its first write to the store
// has timed out.
func TestMemberIsAnnouncedWhileTheStoreIsSilent(t *testing.T) {
	d := newTestDispatcher(t)
	server := httptest.NewServer(d.DirectoryHandler())
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	member := directory.Member{Name: "a1", Role: directory.RoleAgent, Address: "10.1.0.1:7720"}
	go func() {
		defer close(done)
		directory.Register(ctx, silentStore{}, member, []string{"127.0.0.1:1", strings.TrimPrefix(server.URL, "http://")}, time.Second, d.opts.Log)
	}()
	defer func() { cancel(); <-done }()
	for end := time.Now().Add(350 * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
		d.cache.mu.Lock()
		n := len(d.cache.members)
		d.cache.mu.Unlock()
		if n == 1 {
			break
		}
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("not announced"))
	}
}

// Guards against memory and connections that grow with each name that somebody announces, and
// against members that go on unknown after that although the store lists them or can be read.
func TestAnnouncedMembersAreBounded(t *testing.T) {
	d := newTestDispatcher(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for {
			select {
			case <-d.events:
			case <-ctx.Done():
				return
			}
		}
	}()
	handler := d.DirectoryHandler()
	member := func(name, address string) directory.Member {
		return directory.Member{Name: name, Role: directory.RoleEntry, Directory: address}
	}
	post := func(m directory.Member) *httptest.ResponseRecorder {
		body, err := json.Marshal(m)
		qt.Assert(t, err, qt.IsNil)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, directory.Path, bytes.NewReader(body)))
		return w
	}
	members := func() int { return len(d.cache.members) }
	// Rows of the store don't count.
	var rows []directory.Row
	for i := range 925 {
		name := fmt.Sprintf("listed-%d", i)
		rows = append(rows, directory.Row{Key: name, Value: fmt.Appendf(nil, `{"name":%q,"role":"entry","directory":"10.1.0.1:7720"}`, name)})
	}
	d.applyMembers(rows, true, 1)
	const bound = 4096
	for i := range bound {
		qt.Assert(t, post(member(fmt.Sprint(i), "10.1.0.1:7720")).Code, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, members(), qt.Equals, bound+925)
	waiting := d.opts.Log.Waiting()
	for i := range 3 {
		w := post(member(fmt.Sprint("new-", i), "10.1.0.1:7720"))
		qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, "3")
	}
	qt.Assert(t, members(), qt.Equals, bound+925)
	qt.Assert(t, d.opts.Log.Waiting(), qt.Equals, waiting+1)
	// Neither does another entry add any, and known members still change their address.
	qt.Assert(t, d.mergeMembers([]directory.Member{member("new-0", "10.1.0.1:7720")}, ""), qt.Equals, 1)
	for _, name := range []string{"7", "listed-7"} {
		qt.Assert(t, post(member(name, "10.1.0.2:7720")).Code, qt.Equals, http.StatusOK)
		qt.Assert(t, d.cache.members[name].Directory, qt.Equals, "10.1.0.2:7720")
	}
	// A member that the store lists gives its place to another one.
	d.applyMembers([]directory.Row{{Key: "7", Value: []byte(`{"name":"7","role":"entry","directory":"10.1.0.1:7720"}`)}}, false, 2)
	qt.Assert(t, post(member("new-0", "10.1.0.1:7720")).Code, qt.Equals, http.StatusOK)
	qt.Assert(t, post(member("new-1", "10.1.0.1:7720")).Code, qt.Equals, http.StatusServiceUnavailable)

	// Those that don't repeat their announcement are forgotten only while the store can be read.
	for name := range d.cache.announced {
		if name != "new-0" {
			d.cache.announced[name] = time.Now().Add(-2 * announcedRetention)
		}
	}
	d.cache.membersReadFailing = true
	qt.Assert(t, post(member("new-1", "10.1.0.1:7720")).Code, qt.Equals, http.StatusServiceUnavailable)
	d.cache.membersReadFailing = false
	qt.Assert(t, post(member("new-1", "10.1.0.1:7720")).Code, qt.Equals, http.StatusOK)
	qt.Assert(t, members(), qt.Equals, 925+1+2)
	for _, name := range []string{"7", "listed-7", "new-0", "new-1"} {
		_, ok := d.cache.members[name]
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("%s", name))
	}
}

// Guards against more dials of announced members than the entry has file descriptors for.
func TestAnnouncedMembersOnASmallHost(t *testing.T) {
	d := newTestDispatcher(t)
	d.opts.MaxAnnounced = 3
	go func() {
		for range d.events {
		}
	}()
	for i := range 5 {
		d.mergeMembers([]directory.Member{{Name: fmt.Sprint(i), Role: directory.RoleEntry, Directory: "10.1.0.1:7720"}}, "here")
	}
	qt.Assert(t, d.cache.members, qt.HasLen, 3)
	d.opts.MaxAnnounced = 1 << 20
	qt.Assert(t, d.maxUnlisted(), qt.Equals, maxUnlisted)
}

// silentStore answers no call.
type silentStore struct{ directory.Store }

func (silentStore) CloseIdleConnections() {}

func (silentStore) Put(ctx context.Context, _, _ string, _ []byte) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a reply of another entry, whatever its content, that ends the entry.
func FuzzDirectoryReply(f *testing.F) {
	for _, odd := range oddMembers {
		f.Add([]byte(`{"config_version":3,"config":"e30=","members":[` + odd + `]}`))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		d := newTestDispatcher(t)
		var reply directoryReply
		if json.Unmarshal(body, &reply) != nil {
			return
		}
		for _, m := range d.decodeMembers(reply.Members, "peer") {
			qt.Assert(t, m.Validate(), qt.IsNil)
		}
	})
}

// Guards against a peer whose wait exceeds 64 bits in nanoseconds: it became negative, and the
// peer asked again at once, without end.
func TestLongestWaitOfAQuery(t *testing.T) {
	d := newTestDispatcher(t)
	began := time.Now()
	// The first query of an entry is answered at once, the next one names what it knows.
	w := httptest.NewRecorder()
	d.DirectoryHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, directory.Path, nil))
	var reply directoryReply
	qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &reply), qt.IsNil)
	query := fmt.Sprintf("?config=%s&members=%s&wait_ms=%d", formatVersion(reply.ConfigVersion), reply.MembersRevision, math.MaxInt64)
	w = httptest.NewRecorder()
	d.DirectoryHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, directory.Path+query, nil))
	qt.Assert(t, w.Code, qt.Equals, http.StatusOK)
	qt.Assert(t, time.Since(began) >= peerWait, qt.IsTrue, qt.Commentf("answered after %v", time.Since(began)))
}
