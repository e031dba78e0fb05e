package ingress

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
)

// Guards against an explanation for callers, for a malformed job, or more often than the
// event loop has time for.
func TestExplainHandler(t *testing.T) {
	s := newServer(&fakeService{}, 100)
	for _, tc := range []struct {
		token, body string
		code        int
		want        string
	}{
		{"", submission(1, 0), 401, "operator's bearer token"},
		{kilnToken, submission(1, 0), 401, "operator's bearer token"},
		{operatorToken, submission(0, 0), 400, "no tasks"},
		{operatorToken, "{", 400, "ends early"},
		{operatorToken, submission(3, 0), 200, `"total_tasks":3`},
		{operatorToken, submission(1, 0), 200, `"placed"`},
		{operatorToken, submission(1, 0), 429, "one explanation a second"},
	} {
		w := sendRequest(s, "POST", ExplainPath, map[string]string{"Authorization": "Bearer " + tc.token}, tc.body)
		qt.Check(t, w.Code, qt.Equals, tc.code, qt.Commentf("%s", w.Body))
		qt.Check(t, w.Body.String(), qt.Contains, tc.want)
		if tc.code == 401 {
			qt.Check(t, strings.Contains(w.Body.String(), "decision"), qt.IsFalse)
		}
	}
}

// Guards against a fault of a job that is shown only after the others are mended.
func TestSubmissionFaults(t *testing.T) {
	for body, want := range map[string][]Fault{
		submission(2, 100): nil,
		"{\n\"service\":1,\n\"type\":\"\",\n\"tasks\":[],\n\"servis\":2,\n\"deadline_ms\":-1}": {
			{2, `field "service": got number, want string`}, {3, `field "type" is missing`}, {4, "the job has no tasks"},
			{5, `unknown field "servis"`}, {6, "deadline_ms is -1: the deadline is in the past"}, {1, `field "team" is missing`},
		},
		"{\n\"service\":\"s\",}": {{2, "invalid character '}' looking for beginning of object key string"}},
		"[]":                     {{1, "the submission isn't an object"}},
		"":                       {{1, "unexpected end of JSON input"}},
		submission(1, 0) + strings.Repeat(" ", api.MaxJobBytes): {{1, "the body has more than 2097152 bytes"}},
		submission(1, 0) + "\n{}":                               {{2, "invalid character '{' after top-level value"}},
	} {
		got := SubmissionFaults([]byte(body))
		qt.Check(t, len(got), qt.Equals, len(want), qt.Commentf("%s: %v", body, got))
		for i := range min(len(got), len(want)) {
			qt.Check(t, got[i].Line, qt.Equals, want[i].Line, qt.Commentf("%v", got[i]))
			qt.Check(t, got[i].Message, qt.Contains, want[i].Message)
		}
	}
}
