package ingress

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/sesamelift/sesamelift/api"
)

// Server answers HTTP requests. It is safe for concurrent use.
type Server struct {
	options           Options
	echo              *echo.Echo
	operatorTokenHash [sha256.Size]byte
	teamTokenHashes   map[string][sha256.Size]byte
	rateLimiters      map[string]*rate.Limiter
	explainLimiter    *rate.Limiter
}

// New returns a server. metrics handles /metrics and may be nil.
func New(o Options, metrics http.Handler) *Server {
	s := &Server{
		options: o, echo: echo.New(), operatorTokenHash: sha256.Sum256([]byte(o.OperatorToken)),
		teamTokenHashes: map[string][sha256.Size]byte{}, rateLimiters: map[string]*rate.Limiter{},
		explainLimiter: rate.NewLimiter(explainsPerSecond, explainBurst),
	}
	for team, token := range o.TeamTokens {
		s.teamTokenHashes[team] = sha256.Sum256([]byte(token))
		s.rateLimiters[team] = rate.NewLimiter(rate.Limit(o.RequestsPerSecond), o.RequestsPerSecond)
	}
	e := s.echo
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = writeHTTPError
	e.POST("/v1/jobs", s.submit, s.teamOnly)
	e.GET("/v1/jobs/:key", s.get, s.teamOnly)
	e.DELETE("/v1/jobs/:key", s.cancel, s.teamOnly)
	e.GET("/v1/workers", s.workers, s.operatorOnly)
	e.GET("/v1/status", s.statusJSON, s.operatorOnly)
	e.POST(ExplainPath, s.explain, s.operatorOnly)
	e.GET("/status", s.statusText)
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.ready)
	if metrics != nil {
		e.GET("/metrics", echo.WrapHandler(metrics))
	}
	return s
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.echo }

// HTTPServer returns an HTTP server with the time and size limits of this package.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler: s.echo, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// writeHTTPError writes an error of echo, such as an unknown path, as an
// api.Answer.
func writeHTTPError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	code, message := http.StatusInternalServerError, "internal error"
	if h, ok := err.(*echo.HTTPError); ok {
		code, message = h.Code, fmt.Sprint(h.Message)
	}
	reason := api.ReasonInternal
	switch {
	case code == http.StatusUnauthorized:
		reason = api.ReasonUnauthorized
	case code < http.StatusInternalServerError:
		reason = api.ReasonMalformed
	}
	_ = c.JSON(code, &api.Answer{State: api.StateDone, Verdict: api.Failed, Ran: api.RanMaybe, Reason: reason, Message: message})
}

const bearerPrefix = "Bearer "

func bearerTokenHash(c echo.Context) [sha256.Size]byte {
	h := c.Request().Header.Get(echo.HeaderAuthorization)
	if !strings.HasPrefix(h, bearerPrefix) {
		return sha256.Sum256(nil)
	}
	return sha256.Sum256([]byte(h[len(bearerPrefix):]))
}

// authenticatedTeam returns the team whose token the request has, or an empty
// string. It compares with every token, so that the time taken does not depend on
// the token.
func (s *Server) authenticatedTeam(c echo.Context) string {
	got, team := bearerTokenHash(c), ""
	for name, want := range s.teamTokenHashes {
		if subtle.ConstantTimeCompare(got[:], want[:]) == 1 {
			team = name
		}
	}
	return team
}

func (s *Server) isOperator(c echo.Context) bool {
	got := bearerTokenHash(c)
	return subtle.ConstantTimeCompare(got[:], s.operatorTokenHash[:]) == 1
}

const (
	teamContextKey = "team"
	// rateLimitRetryAfter is the Retry-After of requests above the rate limit.
	rateLimitRetryAfter = time.Second
)

// teamOnly admits requests with the token of a team, up to its rate limit. A refusal
// says that the job may have run, because another copy of the request may have
// been accepted, for example by an entry with other settings.
func (s *Server) teamOnly(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		team := s.authenticatedTeam(c)
		if team == "" {
			return s.refuse(c, api.Fail(api.RanMaybe, api.ReasonUnauthorized, "the header Authorization needs the bearer token of a team"))
		}
		if !s.rateLimiters[team].Allow() {
			v := api.Fail(api.RanMaybe, api.ReasonQuota, fmt.Sprintf("team %q sends more than %d requests per second to this entry", team, s.options.RequestsPerSecond))
			v.RetryAfter = rateLimitRetryAfter
			return s.refuse(c, v)
		}
		c.Set(teamContextKey, team)
		return next(c)
	}
}

func (s *Server) operatorOnly(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !s.isOperator(c) {
			return echo.NewHTTPError(http.StatusUnauthorized, "the header Authorization needs the operator's bearer token")
		}
		return next(c)
	}
}

func (s *Server) refuse(c echo.Context, v *api.Verdict) error {
	key, _ := api.ParseKey(c.Request().Header.Get(KeyHeader))
	return s.answer(c, v.Answer(key, false))
}

// answer writes an answer with its status code.
func (s *Server) answer(c echo.Context, a *api.Answer) error {
	if a.RetryAfterMS > 0 {
		seconds := (a.RetryAfterMS + 999) / 1000
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	return c.JSON(StatusCode(a), a)
}
