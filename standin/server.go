package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// headerTimeout closes connections on which no complete request header arrives,
// so that abandoned connections do not accumulate.
const headerTimeout = 10 * time.Second

// server is an HTTP server that listens before it serves, so that its address
// is known before run is called.
type server struct {
	addr     string
	listener net.Listener
	http     *http.Server
}

func listen(address string, h http.Handler) (*server, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, errors.Wrapf(err, "address %q is not an IP address and port", address)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &server{
		addr: l.Addr().String(), listener: l,
		http: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout},
	}, nil
}

// run serves until ctx is done and then closes all connections.
func (s *server) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// readBody reads the request body. If the body cannot be read or exceeds limit,
// it answers the request with an error and returns false.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeJSON(w, http.StatusRequestEntityTooLarge, errorReply{Error: err.Error()})
		return nil, false
	case err != nil:
		writeJSON(w, http.StatusBadRequest, errorReply{Error: err.Error()})
		return nil, false
	}
	return b, true
}

// abort closes the connection of the current request without a reply.
func abort() { panic(http.ErrAbortHandler) }

// faultRoutes registers GET /faults, which returns the current faults as JSON,
// and PUT /faults, which replaces all of them.
func faultRoutes[F any](mux *http.ServeMux, get func() F, set func(F)) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, get())
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f F
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			writeJSON(w, http.StatusBadRequest, errorReply{Error: err.Error()})
			return
		}
		set(f)
		writeJSON(w, http.StatusOK, f)
	})
}

type errorReply struct {
	Error string `json:"error"`
}
