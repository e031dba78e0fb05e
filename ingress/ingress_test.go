package ingress

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/intake"
)

const (
	kilnToken     = "token-of-team-kiln"
	operatorToken = "token-of-the-operator"
	validKey      = "01890a5d-ac96-774b-bcce-b302099a8057"
)

// fakeService gives the same answer to every request.
type fakeService struct {
	answer         *api.Answer
	submitted      int
	age            time.Duration
	notReadyReason string
}

func (f *fakeService) Submit(_ context.Context, k api.Key, _ *api.Submission, age time.Duration, _ bool) *api.Answer {
	f.submitted++
	f.age = age
	return f.reply(k)
}
func (f *fakeService) Get(_ context.Context, k api.Key, _ string, _ bool) *api.Answer {
	return f.reply(k)
}
func (f *fakeService) Cancel(_ context.Context, k api.Key, _ string) *api.Answer { return f.reply(k) }
func (f *fakeService) NotReadyReason() string                                    { return f.notReadyReason }
func (f *fakeService) Status(context.Context) *Status {
	return &Status{Entry: "e1", Advice: []string{"nothing"}}
}
func (f *fakeService) Workers(context.Context) []Worker { return []Worker{{Worker: "w1", Slots: 8}} }

func (f *fakeService) Explain(_ context.Context, s *api.Submission) *Explanation {
	return &Explanation{Entry: "e1", Decision: Placed, TotalTasks: len(s.Tasks)}
}

func (f *fakeService) reply(k api.Key) *api.Answer {
	a := *f.answer
	a.Key = k
	return &a
}

func newServer(f *fakeService, perSecond int) *Server {
	return New(Options{
		Service: f, OperatorToken: operatorToken, TeamTokens: map[string]string{"kiln": kilnToken}, RequestsPerSecond: perSecond,
	}, nil)
}

func sendRequest(s *Server, method, path string, headers map[string]string, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for k, v := range headers {
		r.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

func submission(tasks int, deadline int64) string {
	return fmt.Sprintf(`{"service":"s","type":"t","team":"kiln","deadline_ms":%d,"tasks":[%s]}`, deadline,
		strings.TrimSuffix(strings.Repeat("{},", tasks), ","))
}

// Guards against invalid requests that reach the Service, get an unclear error,
// or are answered with "not run" although the job may have run.
func TestBadInput(t *testing.T) {
	big := `"` + strings.Repeat("x", api.MaxTaskBytes) + `"`
	rows := []struct {
		name, key, token, body string
		code                   int
		reason                 api.Reason
		ran                    api.Ran
		message                string
	}{
		{"no token", validKey, "", submission(1, 0), 401, api.ReasonUnauthorized, api.RanMaybe, ".*bearer token.*"},
		{"wrong token", validKey, "wrong", submission(1, 0), 401, api.ReasonUnauthorized, api.RanMaybe, ".*bearer token.*"},
		{"operator's token", validKey, operatorToken, submission(1, 0), 401, api.ReasonUnauthorized, api.RanMaybe, ".*bearer token.*"},
		{"other team", validKey, kilnToken, strings.Replace(submission(1, 0), "kiln", "press", 1), 401, api.ReasonUnauthorized, api.RanMaybe, `.*team "press".*`},
		{"no key", "", kilnToken, submission(1, 0), 400, api.ReasonMalformed, api.RanNo, "header Idempotency-Key: .*"},
		{"key is no UUID", "x", kilnToken, submission(1, 0), 400, api.ReasonMalformed, api.RanNo, ".*not a UUID.*"},
		{"key of version 4", "9f1c2a34-5b6d-4e7f-8a9b-0c1d2e3f4a5b", kilnToken, submission(1, 0), 400, api.ReasonMalformed, api.RanNo, ".*version 4.*"},
		{"malformed JSON", validKey, kilnToken, `{"service":"s",}`, 400, api.ReasonMalformed, api.RanNo, ".*byte 16.*"},
		{"body ends early", validKey, kilnToken, `{"service":"s"`, 400, api.ReasonMalformed, api.RanNo, ".*ends early.*"},
		{"empty body", validKey, kilnToken, ``, 400, api.ReasonMalformed, api.RanNo, ".*ends early.*"},
		{"more after the submission", validKey, kilnToken, submission(1, 0) + "{}", 400, api.ReasonMalformed, api.RanNo, ".*more data.*"},
		{"unknown field", validKey, kilnToken, `{"servis":"s"}`, 400, api.ReasonMalformed, api.RanNo, `.*unknown field "servis".*`},
		{"wrong type", validKey, kilnToken, `{"service":1}`, 400, api.ReasonMalformed, api.RanNo, `.*field "service": got number, want string.*`},
		{"no service", validKey, kilnToken, `{"type":"t","team":"kiln","tasks":[1]}`, 400, api.ReasonMalformed, api.RanNo, `field "service" is missing`},
		{"no tasks", validKey, kilnToken, submission(0, 0), 400, api.ReasonMalformed, api.RanNo, ".*no tasks.*"},
		{"171 tasks", validKey, kilnToken, submission(171, 0), 400, api.ReasonTooManyTasks, api.RanNo, ".*171 tasks.*"},
		{"deadline too long", validKey, kilnToken, submission(1, 1e9), 400, api.ReasonMalformed, api.RanNo, ".*limit is.*"},
		{"large task", validKey, kilnToken, strings.Replace(submission(1, 0), "{}", big, 1), 413, api.ReasonTooLarge, api.RanNo, "task 0 has .*"},
		{"large body", validKey, kilnToken, strings.Repeat(" ", api.MaxJobBytes+1), 413, api.ReasonTooLarge, api.RanNo, ".*more than.*"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			f := &fakeService{}
			h := map[string]string{"Idempotency-Key": r.key, "Authorization": "Bearer " + r.token}
			w := sendRequest(newServer(f, 100), "POST", "/v1/jobs", h, r.body)
			var a api.Answer
			qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &a), qt.IsNil)
			qt.Assert(t, []any{w.Code, a.Verdict, a.Reason, a.Ran}, qt.DeepEquals, []any{r.code, api.Failed, r.reason, r.ran})
			qt.Assert(t, a.Message, qt.Matches, r.message)
			qt.Assert(t, f.submitted, qt.Equals, 0)
		})
	}
}

// Guards against a refusal as "not run" of a submission that was cut off: the entry does
// not know the rest, and a whole copy of it may have run.
func TestBodyThatIsCutOffMayHaveRun(t *testing.T) {
	f := &fakeService{}
	server := httptest.NewServer(newServer(f, 100).Handler())
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	body := submission(1, 0)
	_, err = fmt.Fprintf(conn, "POST /v1/jobs HTTP/1.1\r\nHost: e1\r\nIdempotency-Key: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		validKey, kilnToken, len(body)+1, body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	var a api.Answer
	qt.Assert(t, json.NewDecoder(resp.Body).Decode(&a), qt.IsNil)
	qt.Assert(t, []any{resp.StatusCode, a.Reason, a.Ran, a.RetrySafe}, qt.DeepEquals, []any{400, api.ReasonMalformed, api.RanMaybe, false})
	qt.Assert(t, f.submitted, qt.Equals, 0)
}

// Guards against an answer that calls another attempt safe on the word of the caller
// alone: only the configuration says whether a type is idempotent.
func TestRefusalAtTheEdgeIsNotSafeToRetry(t *testing.T) {
	f := &fakeService{}
	body := strings.Replace(submission(1, 0), `"team":"kiln"`, `"team":"press","idempotent":true`, 1)
	w := sendRequest(newServer(f, 100), "POST", "/v1/jobs", map[string]string{"Idempotency-Key": validKey, "Authorization": "Bearer " + kilnToken}, body)
	var a api.Answer
	qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &a), qt.IsNil)
	qt.Assert(t, []any{a.Reason, a.Ran, a.RetrySafe}, qt.DeepEquals, []any{api.ReasonUnauthorized, api.RanMaybe, false})
}

// Guards against a deadline in the past that is refused without asking the owner
// of the key: an earlier copy of the job with more time may have run.
func TestPastDeadlineIsAnsweredByTheOwner(t *testing.T) {
	f := &fakeService{answer: &api.Answer{State: api.StateDone, Verdict: api.Complete, Ran: api.RanYes, Reason: api.ReasonOK}}
	h := map[string]string{"Idempotency-Key": validKey, "Authorization": "Bearer " + kilnToken}
	w := sendRequest(newServer(f, 100), "POST", "/v1/jobs", h, submission(1, -5))
	qt.Assert(t, []int{w.Code, f.submitted}, qt.DeepEquals, []int{200, 1})
}

// Guards against a deadline that counts from when the entry has read the body, and against one
// that counts the time in which a slow caller sends it.
func TestDeadlineCountsFromTheHead(t *testing.T) {
	f := &fakeService{answer: &api.Answer{State: api.StateDone, Verdict: api.Complete, Ran: api.RanYes, Reason: api.ReasonOK}}
	const pause = 300 * time.Millisecond
	text := submission(1, 0)
	// What puts off the reading here isn't the connection.
	r := httptest.NewRequest("POST", "/v1/jobs", io.MultiReader(strings.NewReader(text[:20]), pausingReader(pause), strings.NewReader(text[20:])))
	r.Header.Set("Idempotency-Key", validKey)
	r.Header.Set("Authorization", "Bearer "+kilnToken)
	w := httptest.NewRecorder()
	newServer(f, 100).Handler().ServeHTTP(w, r)
	qt.Assert(t, []int{w.Code, f.submitted}, qt.DeepEquals, []int{200, 1})
	qt.Assert(t, f.age >= pause, qt.IsTrue, qt.Commentf("%v", f.age))

	g := intake.NewGuard(intake.Options{Limits: intake.Limits{UnfinishedBytes: 1 << 20, Callers: 2, PacedBytesPerSecond: 1 << 20}})
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server, l := g.Protect(newServer(f, 100).HTTPServer()), g.ListenForCallers(raw)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", raw.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	began := time.Now()
	_, err = fmt.Fprintf(c, "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nIdempotency-Key: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", validKey, kilnToken, len(text), text[:20])
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(pause)
	_, err = io.WriteString(c, text[20:])
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, []int{resp.StatusCode, f.submitted}, qt.DeepEquals, []int{200, 2})
	// The connection may have been accepted late.
	qt.Assert(t, f.age <= time.Since(began)-pause/2, qt.IsTrue, qt.Commentf("%v", f.age))
}

// pausingReader is an empty reader that ends after some time.
type pausingReader time.Duration

func (p pausingReader) Read([]byte) (int, error) {
	time.Sleep(time.Duration(p))
	return 0, io.EOF
}

// Guards against a status code that contradicts the verdict.
func TestStatusCodes(t *testing.T) {
	rows := map[api.Reason]int{
		api.ReasonOK: 200, api.ReasonUnknownService: 404, api.ReasonUnknownType: 422, api.ReasonUnknownTeam: 422, api.ReasonUnknownKey: 404,
		api.ReasonKeyConflict: 409, api.ReasonKeyExpired: 410, api.ReasonKeyFromFuture: 400, api.ReasonDeadlinePast: 504,
		api.ReasonDeadlineExceeded: 504, api.ReasonOverload: 503, api.ReasonQuota: 429, api.ReasonNoWorker: 422, api.ReasonCancelled: 409,
		api.ReasonDraining: 503, api.ReasonOwnerChange: 503, api.ReasonOwnerUnreachable: 503, api.ReasonTaskFailed: 502,
		api.ReasonTaskInDoubt: 502, api.ReasonResultTooLarge: 502, api.ReasonResultsDropped: 502, api.ReasonNotReady: 503, "unheard-of": 500,
	}
	h := map[string]string{"Idempotency-Key": validKey, "Authorization": "Bearer " + kilnToken}
	for reason, code := range rows {
		a := &api.Answer{State: api.StateDone, Verdict: api.Failed, Ran: api.RanMaybe, Reason: reason, RetryAfterMS: 1500}
		s := newServer(&fakeService{answer: a}, 100)
		w := sendRequest(s, "POST", "/v1/jobs", h, submission(1, 0))
		qt.Check(t, w.Code, qt.Equals, code, qt.Commentf("%s", reason))
		qt.Check(t, w.Header().Get("Retry-After"), qt.Equals, "2")
		w = sendRequest(s, "GET", "/v1/jobs/"+validKey, h, "")
		qt.Check(t, w.Code, qt.Equals, code, qt.Commentf("%s", reason))
	}
	w := sendRequest(newServer(&fakeService{answer: &api.Answer{State: api.StateRunning}}, 100), "POST", "/v1/jobs?wait=false", h, submission(1, 0))
	qt.Assert(t, w.Code, qt.Equals, 202)
}

// Guards against a single team that uses up the capacity of the entry for requests.
func TestRateLimit(t *testing.T) {
	s := newServer(&fakeService{answer: &api.Answer{Reason: api.ReasonOK}}, 1)
	h := map[string]string{"Authorization": "Bearer " + kilnToken}
	qt.Assert(t, sendRequest(s, "GET", "/v1/jobs/"+validKey, h, "").Code, qt.Equals, 200)
	w := sendRequest(s, "GET", "/v1/jobs/"+validKey, h, "")
	qt.Assert(t, w.Code, qt.Equals, 429)
	qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, "1")
	qt.Assert(t, w.Body.String(), qt.Contains, `"ran":"maybe"`)
}

// Guards against operators' pages that can be read without the operator's token.
func TestOperatorPages(t *testing.T) {
	s := newServer(&fakeService{notReadyReason: "draining"}, 1)
	op := map[string]string{"Authorization": "Bearer " + operatorToken}
	team := map[string]string{"Authorization": "Bearer " + kilnToken}
	for _, r := range []struct {
		path    string
		headers map[string]string
		code    int
		body    string
	}{
		{"/healthz", nil, 200, "ok"},
		{"/readyz", nil, http.StatusServiceUnavailable, "draining"},
		{"/v1/workers", nil, 401, "operator"},
		{"/v1/workers", team, 401, "operator"},
		{"/v1/workers", op, 200, `"worker":"w1"`},
		{"/v1/status", team, 401, "operator"},
		{"/v1/status", op, 200, `"what_to_do":["nothing"]`},
		{"/status", nil, 200, "Details need the operator's token"},
		{"/status", op, 200, "What to do"},
		{"/nothing", op, 404, "Not Found"},
	} {
		w := sendRequest(s, "GET", r.path, r.headers, "")
		qt.Check(t, w.Code, qt.Equals, r.code, qt.Commentf("%s", r.path))
		qt.Check(t, w.Body.String(), qt.Contains, r.body)
	}
}

// Guards against connections that are never closed because a time limit is
// missing, and against a write limit that ends before the longest job.
func TestServerLimits(t *testing.T) {
	h := newServer(&fakeService{}, 1).HTTPServer()
	for _, d := range []time.Duration{h.ReadHeaderTimeout, h.ReadTimeout, h.WriteTimeout, h.IdleTimeout} {
		qt.Check(t, d > 0, qt.IsTrue)
	}
	qt.Assert(t, h.WriteTimeout > api.MaxDeadline, qt.IsTrue)
}
