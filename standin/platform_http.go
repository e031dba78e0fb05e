package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/table"
)

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table", func(w http.ResponseWriter, r *http.Request) {
		rows, err := p.List(r.Context(), r.URL.Query().Get("prefix"))
		reply(w, rows, err)
	})
	mux.HandleFunc("GET /v1/table/{key...}", func(w http.ResponseWriter, r *http.Request) {
		row, err := p.Get(r.Context(), r.PathValue("key"))
		if err == nil {
			w.Header().Set("ETag", etag(row))
			if r.Header.Get("If-None-Match") == etag(row) {
				w.WriteHeader(http.StatusNotModified)
				return
			}
		}
		reply(w, row, err)
	})
	mux.HandleFunc("PUT /v1/table/{key...}", p.putRow)
	mux.HandleFunc("DELETE /v1/table/{key...}", func(w http.ResponseWriter, r *http.Request) {
		want, ok := expectedVersion(w, r)
		if ok {
			reply(w, struct{}{}, p.Delete(r.Context(), r.PathValue("key"), want))
		}
	})
	mux.HandleFunc("GET /v1/objects/{name...}", func(w http.ResponseWriter, r *http.Request) {
		value, err := p.GetObject(r.Context(), r.PathValue("name"))
		if err != nil {
			reply(w, nil, err)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(value)
	})
	mux.HandleFunc("PUT /v1/objects/{name...}", func(w http.ResponseWriter, r *http.Request) {
		if value, ok := readBody(w, r, table.MaxObjectBytes); ok {
			reply(w, struct{}{}, p.PutObject(r.Context(), r.PathValue("name"), value))
		}
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Counts())
	})
	faultRoutes(mux, p.Faults, p.SetFaults)
	return mux
}

// etag names the content of a row. The version alone would not do: a row that
// is deleted and written again starts at version 1.
func etag(row table.Row) string {
	return fmt.Sprintf(`"%d-%016x"`, row.Version, xxhash.Sum64(row.Value))
}

func (p *Platform) putRow(w http.ResponseWriter, r *http.Request) {
	want, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	value, ok := readBody(w, r, table.MaxValueBytes)
	if !ok {
		return
	}
	row, err := p.CompareAndSet(r.Context(), r.PathValue("key"), want, value)
	reply(w, row, err)
}

// expectedVersion reads If-Match. A write without it is refused, since it could
// overwrite the change of another.
func expectedVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	match := r.Header.Get("If-Match")
	want, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusPreconditionRequired, errorReply{Error: "If-Match must hold the expected version, it is " + strconv.Quote(match)})
		return 0, false
	}
	return want, true
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		writeJSON(w, http.StatusRequestEntityTooLarge, errorReply{Error: err.Error()})
		return nil, false
	case err != nil:
		writeJSON(w, http.StatusBadRequest, errorReply{Error: err.Error()})
		return nil, false
	}
	return b, true
}

func reply(w http.ResponseWriter, v any, err error) {
	var conflict *table.ConflictError
	var doubt *table.DoubtError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.As(err, &doubt):
		abort()
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, conflict.Current)
	case errors.Is(err, table.ErrNotFound):
		writeJSON(w, http.StatusNotFound, errorReply{Error: err.Error()})
	case errors.Is(err, table.ErrUnavailable):
		writeJSON(w, http.StatusServiceUnavailable, errorReply{Error: err.Error(), Written: new(bool)})
	default:
		writeJSON(w, http.StatusInternalServerError, errorReply{Error: err.Error()})
	}
}
