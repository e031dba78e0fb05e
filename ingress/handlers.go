package ingress

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/intake"
	"github.com/sesamelift/sesamelift/telemetry/tracing"
)

const (
	// KeyHeader is the header with the idempotency key of a submission.
	KeyHeader         = "Idempotency-Key"
	traceparentHeader = "Traceparent"
)

func (s *Server) submit(c echo.Context) error {
	arrived := clock.SinceBoot()
	key, err := api.ParseKey(c.Request().Header.Get(KeyHeader))
	if err != nil {
		return s.refuse(c, api.Refuse(api.ReasonMalformed, fmt.Sprintf("header %s: %v", KeyHeader, err)))
	}
	sub, v, err := s.parseSubmission(c)
	if status, ok := intake.Status(c.Response(), err); ok {
		return c.JSON(status, v.Answer(key, false))
	}
	if v == nil && sub.Team != c.Get(teamContextKey).(string) {
		v = api.Fail(api.RanMaybe, api.ReasonUnauthorized, fmt.Sprintf("the token does not belong to team %q", sub.Team))
	}
	if v == nil {
		v = sub.Validate()
	}
	// The deadline is not part of the content of a submission: an earlier copy
	// with a later deadline may have run. Only the owner of the key can tell, so a
	// deadline in the past is refused there.
	if v != nil && v.Reason != api.ReasonDeadlinePast {
		// Only the owner of the key knows whether the type of the job is idempotent.
		return s.answer(c, v.Answer(key, false))
	}
	ctx := tracing.WithTraceparent(c.Request().Context(), c.Request().Header.Get(traceparentHeader))
	age := clock.SinceBoot() - arrived - intake.Awaited(c.Request())
	return s.answer(c, s.options.Service.Submit(ctx, key, sub, age, c.QueryParam("wait") != "false"))
}

// parseSubmission reads a submission. An invalid body is refused with api.RanNo,
// because every entry refuses the same body, so that no copy of it can run. Of a body
// that was cut off the rest isn't known, and a whole copy may have run. The error is that
// of intake.ReadBody.
func (s *Server) parseSubmission(c echo.Context) (sub *api.Submission, v *api.Verdict, err error) {
	decoded := false
	err = intake.ReadBody(c.Request(), api.MaxJobBytes, func(body []byte) error {
		decoded = true
		sub, v = decodeSubmission(body)
		return nil
	})
	switch {
	case decoded:
	case errors.Is(err, intake.ErrTooLarge):
		v = api.Refuse(api.ReasonTooLarge, fmt.Sprintf("the body has more than %d bytes", api.MaxJobBytes))
	case errors.Is(err, intake.ErrBusy):
		v = api.Fail(api.RanMaybe, api.ReasonOverload, err.Error())
		v.RetryAfter = intake.RetryAfter
	case errors.Is(err, intake.ErrTimeout):
		v = api.Fail(api.RanMaybe, api.ReasonMalformed, err.Error())
	default:
		v = api.Fail(api.RanMaybe, api.ReasonMalformed, "the body was cut off")
	}
	return sub, v, err
}

func decodeSubmission(body []byte) (*api.Submission, *api.Verdict) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	var sub api.Submission
	if err := d.Decode(&sub); err != nil {
		return nil, api.Refuse(api.ReasonMalformed, "the body is not a submission: "+describeJSONError(err, d))
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, api.Refuse(api.ReasonMalformed, fmt.Sprintf("the body has more data after the submission, from byte %d", d.InputOffset()))
	}
	return &sub, nil
}

func describeJSONError(err error, d *json.Decoder) string {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Sprintf("byte %d: %v", syntax.Offset, err)
	case errors.As(err, &wrongType):
		return fmt.Sprintf("field %q: got %s, want %s", wrongType.Field, wrongType.Value, wrongType.Type)
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Sprintf("it ends early, after byte %d", d.InputOffset())
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

func (s *Server) get(c echo.Context) error {
	key, err := api.ParseKey(c.Param("key"))
	if err != nil {
		return s.invalidKey(c, err)
	}
	team := c.Get(teamContextKey).(string)
	return s.answer(c, s.options.Service.Get(c.Request().Context(), key, team, c.QueryParam("wait") == "true"))
}

func (s *Server) cancel(c echo.Context) error {
	key, err := api.ParseKey(c.Param("key"))
	if err != nil {
		return s.invalidKey(c, err)
	}
	a := s.options.Service.Cancel(c.Request().Context(), key, c.Get(teamContextKey).(string))
	if a.Reason == api.ReasonCancelled {
		return c.JSON(http.StatusOK, a)
	}
	return s.answer(c, a)
}

func (s *Server) invalidKey(c echo.Context, err error) error {
	return s.answer(c, api.Refuse(api.ReasonMalformed, err.Error()).Answer(api.Key{}, false))
}

func (s *Server) ready(c echo.Context) error {
	if reason := s.options.Service.NotReadyReason(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) workers(c echo.Context) error {
	return c.JSON(http.StatusOK, s.options.Service.Workers(c.Request().Context()))
}

func (s *Server) statusJSON(c echo.Context) error {
	return c.JSON(http.StatusOK, s.options.Service.Status(c.Request().Context()))
}
