package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/standin/store"
	"github.com/sesamelift/sesamelift/table"
)

// PlatformFaults are the faults that a Platform injects.
type PlatformFaults = store.Faults

// PlatformOptions configure a Platform.
type PlatformOptions struct {
	// Address is the IP address and port of the HTTP server. If it is empty, there
	// is no server and the Platform can only be used in process.
	Address string
	Faults  PlatformFaults
}

// Platform simulates the platform: a store that is served over HTTP, and an
// in-process client of that store.
type Platform struct {
	table.Platform
	store  *store.Store
	server *server
}

// NewPlatform returns an empty platform. If o.Address is set, the platform listens
// on it; Run serves the connections.
func NewPlatform(o PlatformOptions) (*Platform, error) {
	s := store.New()
	s.SetFaults(o.Faults)
	p := &Platform{Platform: platform.NewStoreWithTransport("stand-in", &inProcessTransport{s}), store: s}
	if o.Address == "" {
		return p, nil
	}
	mux := http.NewServeMux()
	mux.Handle("/-/", s)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	faultRoutes(mux, s.Faults, s.SetFaults)
	var err error
	if p.server, err = listen(o.Address, mux); err != nil {
		return nil, err
	}
	return p, nil
}

// Addr returns the address of the HTTP server, or an empty string if there is
// none.
func (p *Platform) Addr() string {
	if p.server == nil {
		return ""
	}
	return p.server.addr
}

// Run serves HTTP until ctx is done.
func (p *Platform) Run(ctx context.Context) error {
	if p.server == nil {
		<-ctx.Done()
		return nil
	}
	return p.server.run(ctx)
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) { p.store.SetFaults(f) }

// Faults returns the current faults, with the remaining counts.
func (p *Platform) Faults() PlatformFaults { return p.store.Faults() }

// Counts returns the number of requests received so far.
func (p *Platform) Counts() store.Counts { return p.store.Counts() }

// errNoReply reports that fault injection dropped a request or its reply.
var errNoReply = errors.New("no reply: request or reply dropped by fault injection")

// inProcessTransport passes requests to a handler without a connection. As with a
// real server, a request is executed even if its client has given up in the
// meantime.
type inProcessTransport struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper.
func (t *inProcessTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	// Without a call of GotConn, the client would treat a failed request as not
	// sent, although the handler may have executed it.
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Reused: true})
	}
	replies := make(chan *http.Response, 1)
	go func() {
		defer close(replies)
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		w := httptest.NewRecorder()
		t.handler.ServeHTTP(w, r)
		replies <- w.Result()
	}()
	select {
	case resp, ok := <-replies:
		if !ok {
			return nil, errNoReply
		}
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
