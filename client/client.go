// Package client submits jobs to entries over HTTP, for callers and for the
// command line.
//
// Input: submissions. Output: answers. State: none beyond HTTP connections.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/api"
)

const (
	// KeyHeader is the header with the idempotency key of a submission.
	KeyHeader = "Idempotency-Key"
	// initialBackoff and maxBackoff bound the delay between attempts.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// maxAnswerBytes bounds the body of an answer, in bytes: the largest result
	// for each task of the largest job, and 1 MiB for the rest.
	maxAnswerBytes = api.MaxTasks*api.MaxResultBytes + 1<<20
)

// Client sends requests to the entries of one deployment. It is safe for concurrent
// use.
type Client struct {
	entries []string
	token   string
	http    *http.Client
}

// ErrNoEntries is returned by a client that was given no entries.
var ErrNoEntries = errors.New("no entries are given")

// New returns a client. entries are IP addresses with ports; they are tried in
// order. token is that of a team or of the operator.
func New(entries []string, token string) *Client {
	return &Client{entries: entries, token: token, http: &http.Client{}}
}

// Submit submits a job and waits for its answer until ctx ends. When an entry is not
// ready or does not answer, it submits the job with the same key to the next entry,
// which is safe, because a key runs at most once. An error means that the client
// does not know the outcome of the job; submitting the same key again is always
// allowed.
func (c *Client) Submit(ctx context.Context, key api.Key, s *api.Submission) (*api.Answer, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode job")
	}
	return c.retry(ctx, func(entry string) (*api.Answer, error) {
		return c.do(ctx, http.MethodPost, entry, "/v1/jobs", key, body)
	})
}

// Get returns the answer of a job, or its progress while it runs.
func (c *Client) Get(ctx context.Context, key api.Key) (*api.Answer, error) {
	return c.tryEntries(func(entry string) (*api.Answer, error) {
		return c.do(ctx, http.MethodGet, entry, "/v1/jobs/"+key.String(), key, nil)
	})
}

// Cancel ends a job. The answer says whether any of its tasks may have run.
func (c *Client) Cancel(ctx context.Context, key api.Key) (*api.Answer, error) {
	return c.tryEntries(func(entry string) (*api.Answer, error) {
		return c.do(ctx, http.MethodDelete, entry, "/v1/jobs/"+key.String(), key, nil)
	})
}

// Fetch returns the body of a page for operators, such as /v1/status. It asks the
// first entry that can be reached.
func (c *Client) Fetch(ctx context.Context, path string) ([]byte, error) {
	lastErr := ErrNoEntries
	for _, entry := range c.entries {
		resp, err := c.send(ctx, http.MethodGet, entry, path, nil, nil)
		if err != nil {
			lastErr = err
			continue
		}
		b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode != http.StatusOK {
			err = errors.Errorf("entry %s answered %s: %s", entry, resp.Status, bytes.TrimSpace(b))
		}
		return b, err
	}
	return nil, errors.Wrap(lastErr, "no entry could be reached")
}

// RejectedError is returned if an entry has answered that a request is wrong.
type RejectedError struct{ Message string }

// Error implements error.
func (e *RejectedError) Error() string { return e.Message }

// Explain asks the first entry that can be reached what would happen to a submission, and
// returns the body of its answer. The error is a RejectedError if the entry finds the
// submission wrong.
func (c *Client) Explain(ctx context.Context, s *api.Submission) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode job")
	}
	lastErr := ErrNoEntries
	for _, entry := range c.entries {
		resp, err := c.send(ctx, http.MethodPost, entry, "/v1/explain", nil, body)
		if err != nil {
			lastErr = err
			continue
		}
		b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode == http.StatusOK {
			return b, errors.Wrap(err, "read the explanation")
		}
		var a api.Answer
		if json.Unmarshal(b, &a) != nil || a.Message == "" {
			return nil, errors.Errorf("answered status %d", resp.StatusCode)
		}
		if resp.StatusCode == http.StatusBadRequest {
			return nil, &RejectedError{a.Message}
		}
		return nil, errors.Errorf("answered status %d: %s", resp.StatusCode, a.Message)
	}
	return nil, errors.Wrap(lastErr, "no entry could be reached")
}

func (c *Client) tryEntries(f func(string) (*api.Answer, error)) (*api.Answer, error) {
	lastErr := ErrNoEntries
	for _, entry := range c.entries {
		a, err := f(entry)
		if err == nil && a.Reason != api.ReasonNotReady {
			return a, nil
		}
		if err == nil {
			err = errors.Errorf("entry %s is not ready: %s", entry, a.Message)
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "no entry could be reached")
}

func (c *Client) retry(ctx context.Context, f func(string) (*api.Answer, error)) (*api.Answer, error) {
	backoff := initialBackoff
	for {
		a, err := c.tryEntries(f)
		if err == nil || errors.Is(err, ErrNoEntries) {
			return a, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(err, "no answer in time; submit the same key again to learn the outcome")
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Client) do(ctx context.Context, method, entry, path string, key api.Key, body []byte) (*api.Answer, error) {
	resp, err := c.send(ctx, method, entry, path, &key, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var a api.Answer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&a); err != nil {
		return nil, errors.Wrapf(err, "entry %s answered %s without a valid answer", entry, resp.Status)
	}
	if a.Key != key && a.Key != (api.Key{}) {
		return nil, errors.Errorf("entry %s answered for key %s instead of %s", entry, a.Key, key)
	}
	return &a, nil
}

func (c *Client) send(ctx context.Context, method, entry, path string, key *api.Key, body []byte) (*http.Response, error) {
	u := url.URL{Scheme: "http", Host: entry, Path: path}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	if key != nil {
		req.Header.Set(KeyHeader, key.String())
	}
	resp, err := c.http.Do(req)
	return resp, errors.Wrapf(err, "entry %s", entry)
}
