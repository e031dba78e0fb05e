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

// Server answers HTTP requests. Safe for concurrent use.
type Server struct {
	o        Options
	echo     *echo.Echo
	operator [sha256.Size]byte
	tokens   map[string][sha256.Size]byte
	limits   map[string]*rate.Limiter
}

// New returns a server. metrics serves /metrics and may be nil.
func New(o Options, metrics http.Handler) *Server {
	s := &Server{
		o: o, echo: echo.New(), operator: sha256.Sum256([]byte(o.OperatorToken)),
		tokens: map[string][sha256.Size]byte{}, limits: map[string]*rate.Limiter{},
	}
	for team, token := range o.TeamTokens {
		s.tokens[team] = sha256.Sum256([]byte(token))
		s.limits[team] = rate.NewLimiter(rate.Limit(o.RequestsPerSecond), o.RequestsPerSecond)
	}
	e := s.echo
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = httpError
	e.POST("/v1/jobs", s.submit, s.caller)
	e.GET("/v1/jobs/:key", s.get, s.caller)
	e.DELETE("/v1/jobs/:key", s.cancel, s.caller)
	e.GET("/v1/workers", s.workers, s.operatorOnly)
	e.GET("/v1/status", s.statusJSON, s.operatorOnly)
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

// HTTPServer returns a server with the limits of this package.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler: s.echo, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// httpError gives errors of echo, such as an unknown path, the form of an
// answer.
func httpError(err error, c echo.Context) {
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

const bearer = "Bearer "

func token(c echo.Context) [sha256.Size]byte {
	h := c.Request().Header.Get(echo.HeaderAuthorization)
	if !strings.HasPrefix(h, bearer) {
		return sha256.Sum256(nil)
	}
	return sha256.Sum256([]byte(h[len(bearer):]))
}

// team returns the team of the token. It compares with every token, so that the
// time taken does not depend on the token.
func (s *Server) team(c echo.Context) string {
	got, team := token(c), ""
	for name, want := range s.tokens {
		if subtle.ConstantTimeCompare(got[:], want[:]) == 1 {
			team = name
		}
	}
	return team
}

func (s *Server) isOperator(c echo.Context) bool {
	got := token(c)
	return subtle.ConstantTimeCompare(got[:], s.operator[:]) == 1
}

const (
	teamField = "team"
	// rateRetry is the hint for callers above their request rate.
	rateRetry = time.Second
)

// caller admits requests with the token of a team, at the team's rate. Another
// copy of the request may have run, for example at an entry with other
// settings, so the refusals say maybe.
func (s *Server) caller(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		team := s.team(c)
		if team == "" {
			return s.refuse(c, api.Fail(api.RanMaybe, api.ReasonUnauthorized, "the header Authorization needs the bearer token of a team"))
		}
		if !s.limits[team].Allow() {
			v := api.Fail(api.RanMaybe, api.ReasonQuota, fmt.Sprintf("team %q sends more than %d requests per second to this entry", team, s.o.RequestsPerSecond))
			v.RetryAfter = rateRetry
			return s.refuse(c, v)
		}
		c.Set(teamField, team)
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
