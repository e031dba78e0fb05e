package boundconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// testServer answers as one instance and counts the requests that ask for it and the others.
type testServer struct {
	instance             int64
	closesConns, silent  bool
	identified, requests atomic.Int64
}

func (s *testServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instance" {
		s.requests.Add(1)
		return
	}
	s.identified.Add(1)
	if s.silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if s.closesConns {
		rw.Header().Set("Connection", "close")
	}
	_, _ = rw.Write([]byte(strconv.FormatInt(s.instance, 10)))
}

// request sends a request to an instance of the server.
func (s *testServer) request(c *qt.C, client *Client, url string, instance int64) error {
	resp, err := client.For(instance).Post(url+"/request", "text/plain", nil)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		c.Assert(resp.Body.Close(), qt.IsNil)
	}
	return err
}

func start(c *qt.C, s *testServer) (*Client, string) {
	server := httptest.NewServer(s)
	c.Cleanup(server.Close)
	return New(Options{
		Dial: (&net.Dialer{}).DialContext, IdentifyTimeout: 100 * time.Millisecond, MaxConns: 2,
		Identify: func(ctx context.Context, client *http.Client) (int64, error) {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/instance", nil)
			c.Check(err, qt.IsNil)
			resp, err := client.Do(req)
			if err != nil {
				return 0, err
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			c.Check(err, qt.IsNil)
			return strconv.ParseInt(string(body), 10, 64)
		},
	}), server.URL
}

// Guards against a request that another instance than the intended one gets.
func TestRequestReachesOneInstance(t *testing.T) {
	c := qt.New(t)
	s := &testServer{instance: 7}
	client, url := start(c, s)
	c.Assert(errors.Is(s.request(c, client, url, 6), ErrOtherInstance), qt.IsTrue)
	c.Assert(s.requests.Load(), qt.Equals, int64(0))
	for range 3 {
		c.Assert(s.request(c, client, url, 7), qt.IsNil)
	}
	c.Assert(errors.Is(s.request(c, client, url, 8), ErrOtherInstance), qt.IsTrue)
	c.Assert(s.requests.Load(), qt.Equals, int64(3))
	c.Assert(s.identified.Load(), qt.Equals, int64(3), qt.Commentf("one for each new connection"))
}

// Guards against a request on a connection that belongs to no process yet or to none any more.
func TestRequestNeedsAnAnsweredConnection(t *testing.T) {
	for name, s := range map[string]*testServer{"no answer": {instance: 7, silent: true}, "closed after the answer": {instance: 7, closesConns: true}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client, url := start(c, s)
			c.Assert(s.request(c, client, url, 7), qt.IsNotNil)
			c.Assert(s.requests.Load(), qt.Equals, int64(0))
		})
	}
}
