package dispatchd

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/routes"
)

func newEvacuationDispatcher(t *testing.T) *Dispatcher {
	d := newTestDispatcher(t)
	d.opts.ConfigKey = "config"
	d.opts.EvacuatedZone = func(key string) (string, bool) { return strings.CutPrefix(key, "zone-") }
	d.opts.DecodeConfig = func([]byte) (*routes.Config, error) { return &routes.Config{Version: 3}, nil }
	return d
}

func rowsOf(keys ...string) (rows []directory.Row) {
	for _, k := range keys {
		key, deleted := strings.CutPrefix(k, "-")
		rows = append(rows, directory.Row{Key: key, Value: []byte("x"), Deleted: deleted})
	}
	return rows
}

// handleEvents handles the events that wait.
func handleEvents(d *Dispatcher) {
	for len(d.events) > 0 {
		(<-d.events).handle(time.Hour)
	}
}

// effective returns the evacuated zones that the scheduler has been passed.
func effective(c *qt.C, d *Dispatcher) (uint64, string) {
	handleEvents(d)
	e := d.cache.evacuations
	c.Assert(d.scheduler.Stats().EvacuatedZones, qt.Equals, len(e.Zones))
	return e.Version, strings.Join(e.Zones, " ")
}

// Guards against a zone that stays evacuated, or usable, after changes and full reads of the
// table, with or without the configuration's row, and against other rows that count as zones.
func TestEvacuatedZonesFollowTheTable(t *testing.T) {
	c := qt.New(t)
	d := newEvacuationDispatcher(t)
	for i, step := range []struct {
		full bool
		rows []directory.Row
		want string
	}{
		{true, nil, ""},
		{true, rowsOf("zone-b", "zone-a", "other"), "a b"},
		{false, rowsOf("config"), "a b"},
		{false, rowsOf("-zone-a", "zone-c"), "b c"},
		{false, rowsOf("-zone-nowhere", "-config"), "b c"},
		// Any value counts, also one that can't be read.
		{false, []directory.Row{{Key: "zone-d", Err: context.Canceled}}, "b c d"},
		// The store no longer keeps the changes: zones were restored meanwhile.
		{true, rowsOf("zone-d"), "d"},
		{true, rowsOf("config"), ""},
		{false, rowsOf("zone-d"), "d"},
	} {
		d.applyConfigTable(step.rows, step.full, uint64(10+i))
		version, zones := effective(c, d)
		c.Assert([]any{version, zones}, qt.DeepEquals, []any{uint64(10 + i), step.want}, qt.Commentf("step %d", i))
	}
}

// Guards against a malformed row that hides others, or that is logged with every read.
func TestEvacuationRowWithoutZone(t *testing.T) {
	c := qt.New(t)
	d := newEvacuationDispatcher(t)
	for version := range uint64(5) {
		d.applyConfigTable(rowsOf("zone-", "zone-a"), true, version+1)
		_, zones := effective(c, d)
		c.Assert(zones, qt.Equals, "a")
	}
	c.Assert(d.opts.Log.Waiting(), qt.Equals, 1)
}

// Guards against a task that an entry starts in an evacuated zone because it has just started,
// and takes up its work between the configuration and the zones of the same read or reply.
func TestZonesPrecedeTheConfiguration(t *testing.T) {
	for name, learn := range map[string]func(d *Dispatcher){
		"read": func(d *Dispatcher) { d.applyConfigTable(rowsOf("config", "zone-a"), true, 7) },
		"reply": func(d *Dispatcher) {
			asked := newEvacuationDispatcher(t)
			asked.applyConfigTable(rowsOf("config", "zone-a"), true, 7)
			server := httptest.NewServer(asked.DirectoryHandler())
			defer server.Close()
			d.queryPeer(context.Background(), server.Client(), strings.TrimPrefix(server.URL, "http://"), 0)
		},
	} {
		d := newEvacuationDispatcher(t)
		evacuated := -1
		d.opts.DecodeConfig = func([]byte) (*routes.Config, error) {
			handleEvents(d)
			evacuated = d.scheduler.Stats().EvacuatedZones
			return &routes.Config{Version: 3}, nil
		}
		learn(d)
		qt.Check(t, evacuated, qt.Equals, 1, qt.Commentf("%s", name))
	}
}

// Guards against an entry that is cut off from the store and goes on with what it knew: it
// asks another one, which answers when the zones change, and not before.
func TestEntryCutOffFromTheStoreLearnsFromAnother(t *testing.T) {
	c := qt.New(t)
	asked, cutOff := newEvacuationDispatcher(t), newEvacuationDispatcher(t)
	server := httptest.NewServer(asked.DirectoryHandler())
	defer server.Close()
	query := func(wait time.Duration) {
		cutOff.queryPeer(context.Background(), server.Client(), strings.TrimPrefix(server.URL, "http://"), wait)
	}
	asked.applyConfigTable(rowsOf("config"), true, 7)
	cutOff.applyConfigTable(rowsOf("config"), true, 9)
	for i, step := range []struct {
		row  string
		want string
	}{{"zone-a", "a"}, {"zone-b", "a b"}, {"-zone-a", "b"}, {"zone-a", "a b"}} {
		query(0)
		done := make(chan struct{})
		go func() { defer close(done); query(time.Hour) }()
		select {
		case <-done:
			c.Fatal("answered although nothing is new")
		case <-time.After(20 * ms):
		}
		asked.applyConfigTable(rowsOf(step.row), false, uint64(20+i))
		<-done
		_, zones := effective(c, cutOff)
		c.Assert(zones, qt.Equals, step.want)
	}
}

// Guards against an older state that replaces a newer one: another entry may lag behind, and
// a read that was repeated may be answered late. What changes after it counts again.
func TestOlderReadsAndRepliesChangeNothing(t *testing.T) {
	c := qt.New(t)
	d := newEvacuationDispatcher(t)
	assertZones := func(want string) {
		_, zones := effective(c, d)
		c.Assert(zones, qt.Equals, want)
	}
	d.applyConfigTable(nil, true, 10)
	d.mergeEvacuations(&directory.Evacuations{Version: 20, Zones: []string{"a"}})
	assertZones("a")
	d.mergeEvacuations(&directory.Evacuations{Version: 15})
	d.mergeEvacuations(&directory.Evacuations{Version: 20, Zones: []string{"b"}})
	d.mergeEvacuations(nil)
	d.applyConfigTable(rowsOf("zone-b"), true, 18)
	assertZones("a")
	d.applyConfigTable(rowsOf("-zone-b", "zone-a"), false, 21)
	assertZones("a")
	d.applyConfigTable(rowsOf("-zone-a"), false, 22)
	assertZones("")
}

// Load: the store is restored from a backup, or answers from a copy that lags behind. Guards
// against rows without effect that the log doesn't explain, and against a line for each read.
func TestOlderFullReadIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	d := newEvacuationDispatcher(t)
	for _, step := range []struct {
		full    bool
		version uint64
		lines   int
	}{{true, 20, 0}, {false, 10, 0}, {true, 10, 1}, {true, 11, 1}, {false, 12, 1}, {true, 20, 1}, {true, 19, 2}, {true, 20, 2}} {
		d.applyConfigTable(rowsOf("zone-a"), step.full, step.version)
		c.Assert(d.opts.Log.Waiting(), qt.Equals, step.lines, qt.Commentf("%+v", step))
	}
}

// Guards against entries of an earlier release that are answered at once each time because
// they don't say which zones they know, and against replies of theirs that restore a zone.
func TestEvacuationsBesideAnEarlierRelease(t *testing.T) {
	c := qt.New(t)
	d := newEvacuationDispatcher(t)
	d.applyConfigTable(rowsOf("zone-a"), true, 7)
	get := func(query string) string {
		w := httptest.NewRecorder()
		d.DirectoryHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, directory.Path+query, nil))
		return w.Body.String()
	}
	c.Assert(get("?config=0"), qt.Not(qt.Contains), "evacuations")
	c.Assert(get("?config=0&evacuations=7"), qt.Not(qt.Contains), "evacuations")
	c.Assert(get("?config=0&evacuations=6"), qt.Contains, `"evacuations":{"version":7,"zones":["a"]}`)

	earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"config_version":3,"config":"e30=","members":[]}`))
	}))
	defer earlier.Close()
	d.queryPeer(context.Background(), earlier.Client(), strings.TrimPrefix(earlier.URL, "http://"), 0)
	_, zones := effective(c, d)
	c.Assert(zones, qt.Equals, "a")
	c.Assert(d.routes.Current(), qt.IsNotNil)
}

// withoutPings lets the entry send no ping to the agent for an hour from its last message on,
// and not take the agent for lost.
func (e *runningEntry) withoutPings() {
	done := make(chan struct{})
	e.post(func(now time.Duration) {
		l := &e.agents["w1"].liveness
		l.LastSent, l.LastReceived = now+time.Hour, now+time.Hour
		close(done)
	})
	<-done
}

// Guards against an agent that isn't told of a change of its zone's state, or is told only
// with the next ping.
func TestMessagesCarryTheStateOfTheZone(t *testing.T) {
	e := startEntry(t)
	states := make(chan link.Evacuation, 1000)
	e.mu.Lock()
	e.onCommands = func(c *link.Commands) { states <- c.Evacuation }
	e.report(e.sequence, &link.Report{Worker: &link.WorkerState{Service: "s", Zone: "a", Revision: 3, Capacity: link.Resources{MilliCPU: 8000}}})
	e.mu.Unlock()
	next := func(want link.Evacuation) {
		e.Helper()
		for end := time.After(2 * time.Second); ; {
			select {
			case got := <-states:
				if got == want {
					return
				}
			case <-end:
				e.Fatalf("not told of %+v", want)
			}
		}
	}
	e.setEvacuations(directory.Evacuations{Version: 4, Zones: []string{"a"}})
	next(link.Evacuation{Version: 4, Evacuated: true, WorkerRevision: 3})
	e.withoutPings()
	e.setEvacuations(directory.Evacuations{Version: 5, Zones: []string{"b"}})
	next(link.Evacuation{Version: 5, WorkerRevision: 3})
	e.withoutPings()
	e.setEvacuations(directory.Evacuations{Version: 6, Zones: []string{"a"}})
	next(link.Evacuation{Version: 6, Evacuated: true, WorkerRevision: 3})
}
