package standin

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/table"
	"github.com/sesamelift/sesamelift/table/tabletest"
)

// startPlatform returns a running platform stand-in and its two clients.
func startPlatform(t *testing.T) (*Platform, map[string]table.Platform) {
	p, err := NewPlatform(PlatformOptions{Address: "127.0.0.1:0"})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	return p, map[string]table.Platform{"in process": p, "HTTP": platform.NewStore(p.Addr())}
}

// Guards against a client, in process or over HTTP, that violates the contract of
// table.Platform.
func TestPlatformContract(t *testing.T) {
	for _, name := range []string{"in process", "HTTP"} {
		t.Run(name, func(t *testing.T) {
			tabletest.Run(t, func(t *testing.T) table.Platform {
				_, clients := startPlatform(t)
				return clients[name]
			})
		})
	}
}

// Guards against an error that claims that nothing was written although the write
// may have taken effect, and against Update writing twice.
func TestPlatformFaults(t *testing.T) {
	const unknown, unavailable = "unknown outcome", "unavailable"
	// Only the delay of 1500 ms may exceed the timeout.
	const timeout = time.Second
	for _, tc := range []struct {
		name   string
		faults PlatformFaults
		// readErr and writeErr are the kinds of error that Get and CompareAndSet
		// return.
		readErr, writeErr string
		// writeVersion is the version of the row after CompareAndSet.
		writeVersion uint64
		// updateErr is the kind of error that Update returns under the same faults,
		// updateVersion the version of the row after it.
		updateErr     string
		updateVersion uint64
	}{
		{"none", PlatformFaults{}, "", "", 2, "", 2},
		{"delay", PlatformFaults{DelayMS: 30}, "", "", 2, "", 2},
		{"unavailable", PlatformFaults{Unavailable: true}, unavailable, unavailable, 1, unavailable, 1},
		{"writes refused", PlatformFaults{RefuseWrites: true}, "", unavailable, 1, unavailable, 1},
		{"reply lost", PlatformFaults{LoseReplies: 1}, "", unknown, 2, "", 2},
		{"request lost", PlatformFaults{LoseRequests: 1}, "", unknown, 1, "", 2},
		{"request then reply lost", PlatformFaults{LoseRequests: 1, LoseReplies: 1}, "", unknown, 1, "", 2},
		{"delay beyond the timeout", PlatformFaults{DelayMS: 1500}, unavailable, unknown, 2, unavailable, 1},
	} {
		for _, client := range []string{"in process", "HTTP"} {
			t.Run(tc.name+"/"+client, func(t *testing.T) {
				t.Parallel()
				for _, viaUpdate := range []bool{false, true} {
					standIn, clients := startPlatform(t)
					_, err := standIn.CompareAndSet(context.Background(), "roster", 0, []byte(`{"op":"first"}`))
					qt.Assert(t, err, qt.IsNil)
					standIn.SetFaults(tc.faults)
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					defer cancel()
					wantErr, wantVersion := tc.writeErr, tc.writeVersion
					if viaUpdate {
						wantErr, wantVersion = tc.updateErr, tc.updateVersion
						_, err = table.Update(ctx, clients[client], "roster", "second", setOp("second"))
					} else {
						_, err = clients[client].CompareAndSet(ctx, "roster", 1, []byte(`{"op":"second"}`))
					}
					qt.Assert(t, errorKind(err), qt.Equals, wantErr, qt.Commentf("update: %v: %v", viaUpdate, err))
					if !viaUpdate {
						ctx, cancel := context.WithTimeout(context.Background(), timeout)
						_, err = clients[client].Get(ctx, "roster")
						cancel()
						qt.Assert(t, errorKind(err), qt.Equals, tc.readErr, qt.Commentf("%v", err))
					}
					// Waits for the injected delay, so that a late write is detected.
					time.Sleep(time.Duration(tc.faults.DelayMS) * time.Millisecond)
					standIn.SetFaults(PlatformFaults{})
					row, err := standIn.Get(context.Background(), "roster")
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, row.Version, qt.Equals, wantVersion, qt.Commentf("update: %v", viaUpdate))
				}
			})
		}
	}
}

func errorKind(err error) string {
	var unknown *table.UnknownOutcomeError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &unknown):
		return "unknown outcome"
	case errors.Is(err, table.ErrUnavailable):
		return "unavailable"
	}
	return err.Error()
}

func setOp(op string) func([]byte) ([]byte, error) {
	return func([]byte) ([]byte, error) { return fmt.Appendf(nil, `{"op":%q}`, op), nil }
}

// Guards against a refused connection that is reported as a write of unknown
// outcome, although no request can have been sent.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	standIn, err := NewPlatform(PlatformOptions{Address: "127.0.0.1:0"})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- standIn.Run(ctx) }()
	client := platform.NewStore(standIn.Addr())
	_, err = client.CompareAndSet(context.Background(), "roster", 0, nil)
	qt.Assert(t, err, qt.IsNil)
	cancel()
	qt.Assert(t, <-done, qt.IsNil)
	// The first attempt may fail on the closed idle connection.
	for range 2 {
		_, err = client.CompareAndSet(context.Background(), "roster", 1, nil)
	}
	qt.Assert(t, errorKind(err), qt.Equals, "unavailable", qt.Commentf("%v", err))
}

// Guards against a write of unknown outcome that is reported as successful or is
// repeated, after another writer has replaced the row.
func TestUpdateUnknownOutcomeAfterAnotherWriter(t *testing.T) {
	standIn, err := NewPlatform(PlatformOptions{Faults: PlatformFaults{LoseReplies: 1}})
	qt.Assert(t, err, qt.IsNil)
	ctx, calls := context.Background(), 0
	hooked := &hookedPlatform{Platform: standIn, beforeGet: func(n int) {
		if n == 2 {
			_, err := standIn.CompareAndSet(ctx, "roster", 1, []byte(`{"op":"other"}`))
			qt.Check(t, err, qt.IsNil)
		}
	}}
	_, err = table.Update(ctx, hooked, "roster", "mine", func([]byte) ([]byte, error) {
		calls++
		return []byte(`{"op":"mine"}`), nil
	})
	qt.Assert(t, errorKind(err), qt.Equals, "unknown outcome", qt.Commentf("%v", err))
	qt.Assert(t, calls, qt.Equals, 1)
	row, err := standIn.Get(ctx, "roster")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, row.Version, qt.Equals, uint64(2))
}

type hookedPlatform struct {
	table.Platform
	gets      int
	beforeGet func(n int)
}

func (p *hookedPlatform) Get(ctx context.Context, key string) (table.Row, error) {
	p.gets++
	p.beforeGet(p.gets)
	return p.Platform.Get(ctx, key)
}

// Guards against an update that retries without limit, that repeats an operation
// which has already taken effect, or that writes a value without its operation ID.
func TestUpdateBounds(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	standIn, err := NewPlatform(PlatformOptions{})
	c.Assert(err, qt.IsNil)
	row, err := table.Update(ctx, standIn, "roster", "a", setOp("a"))
	c.Assert(err, qt.IsNil)
	again, err := table.Update(ctx, standIn, "roster", "a", func([]byte) ([]byte, error) { panic("operation repeated") })
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, row)
	_, err = table.Update(ctx, standIn, "roster", "b", setOp("not b"))
	c.Assert(err, qt.ErrorMatches, `.*does not carry the operation id "b"`)
	_, err = table.Update(ctx, standIn, "roster", "b", func([]byte) ([]byte, error) {
		current, err := standIn.Get(ctx, "roster")
		c.Assert(err, qt.IsNil)
		_, err = standIn.CompareAndSet(ctx, "roster", current.Version, []byte(`{"op":"other"}`))
		c.Assert(err, qt.IsNil)
		return []byte(`{"op":"b"}`), nil
	})
	c.Assert(errors.Is(err, table.ErrTooManyConflicts), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against faults that cannot be set over HTTP, and against accepting an
// unknown fault, a malformed transaction or a write to a table of the operator.
func TestPlatformOverHTTP(t *testing.T) {
	standIn, _ := startPlatform(t)
	for _, tc := range []struct {
		method, path, body string
		status             int
	}{
		{"PUT", "/faults", `{"lose_replies": 2}`, http.StatusOK},
		{"PUT", "/faults", `{"loose_replies": 2}`, http.StatusBadRequest},
		{"GET", "/faults", ``, http.StatusOK},
		{"POST", "/-/rows-tx", `{"writes":[{"table":"op","part":"","key":"config","value":""}]}`, http.StatusForbidden},
		{"POST", "/-/rows-tx", `[`, http.StatusBadRequest},
	} {
		status := sendRequest(t, tc.method, "http://"+standIn.Addr()+tc.path, tc.body)
		qt.Assert(t, status, qt.Equals, tc.status, qt.Commentf("%s %s", tc.method, tc.path))
	}
	qt.Assert(t, standIn.Faults(), qt.Equals, PlatformFaults{LoseReplies: 2})
}

func sendRequest(t *testing.T, method, url, body string) int {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Body.Close(), qt.IsNil)
	return resp.StatusCode
}
