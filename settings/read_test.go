package settings

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const validEntry = `{
  // The name stays the same across restarts.
  "name": "entry-1",
  "zone": "gondar",
  "caller_address": "127.0.0.1:7400",
  "peer_address": "127.0.0.1:7401",
  "platform_address": "127.0.0.1:7300",
  "tls": {"certificate": "entry.pem", "key": "entry-key.pem", "ca": "ca.pem"},
  "operator_token": "operator-token-0001",
  "team_tokens": {"quotes": "quotes-token-000001"},
}`

// Guards against a valid file that is rejected, and against a missing field that
// does not get its default.
func TestValidSettings(t *testing.T) {
	c := qt.New(t)
	var e Entry
	c.Assert(Parse("entry.json", []byte(validEntry), &e), qt.IsNil)
	c.Assert(e.Name, qt.Equals, "entry-1")
	c.Assert(e.Policy, qt.Equals, "estimate")
	c.Assert(e.DrainTimeoutMS, qt.Equals, 60000)
	c.Assert(e.Logging, qt.Equals, Logging{Level: "info", Format: "json"})
	c.Assert(e.TeamTokens["quotes"], qt.Equals, "quotes-token-000001")
}

// Guards against a fault that is accepted silently, or reported without the line
// and field that the operator has to edit.
func TestFaultsNameFieldAndLine(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown field", `"zone"`, `"zome"`, `(?s).*entry.json:4: zome: unknown field; known: name, zone, .*`},
		{"missing field", `"zone": "gondar",`, ``, `entry.json:1: zone: field is missing`},
		{"out of range", `"zone": "gondar",`, `"zone": "gondar", "max_queued_tasks": 0,`, `entry.json:4: max_queued_tasks: 0 is out of range, allowed is 1 to 1000000`},
		{"host name", `127.0.0.1:7400`, `localhost:7400`, `entry.json:5: caller_address: "localhost:7400" is not an IP address and port.*`},
		{"value not in the enumeration", `"zone": "gondar",`, `"zone": "gondar", "policy": "best",`, `entry.json:4: policy: "best" is not allowed, allowed: estimate, random, power-of-two`},
		{"short token", `operator-token-0001`, `secret`, `entry.json:9: operator_token: token has 6 bytes, at least 16 are required`},
		{"nested", `"key": "entry-key.pem"`, `"kee": "x"`, `(?s)entry.json:8: tls.kee: unknown field.*tls.key: field is missing`},
		{"wrong type", `"zone": "gondar"`, `"zone": 5`, `entry.json:4: zone: expected a string`},
		{"given twice", `"zone": "gondar"`, `"zone": "gondar", "zone": "gondar"`, `entry.json:4: zone: field is given twice`},
		{"syntax", `"zone": "gondar"`, `"zone" "gondar"`, `entry.json:4: .*`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var e Entry
			err := Parse("entry.json", []byte(strings.Replace(validEntry, tc.old, tc.new, 1)), &e)
			qt.Assert(t, err, qt.ErrorMatches, tc.want)
		})
	}
}

// Guards against a parser that stops at the first fault, so that an operator
// finds the faults one run at a time.
func TestAllFaultsAtOnce(t *testing.T) {
	var e Entry
	err := Parse("entry.json", []byte(`{"name": "A B", "zone": 1, "extra": true}`), &e)
	faults, ok := err.(FaultsError)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, len(faults) >= 8, qt.IsTrue, qt.Commentf("%v", err))
}
