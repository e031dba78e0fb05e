package directory

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a member that names no process that can be reached: entries would dial
// addresses that can't exist, or one member under the name of another.
func TestOddMembersAreRejected(t *testing.T) {
	address := func(a string) string { return fmt.Sprintf(`{"name":"a1","role":"agent","address":%q}`, a) }
	for _, tc := range []struct{ value, message string }{
		{address("10.1.0.1:0"), `.*not an IP address and port`},
		{address("10.1.0.1:-1"), `.*not an IP address and port`},
		{address("10.1.0.1:65536"), `.*not an IP address and port`},
		{address("10.1.0.1:99999"), `.*not an IP address and port`},
		{address("10.1.0.1:18446744073709551616"), `.*not an IP address and port`},
		{address(":7720"), `.*not an IP address and port`},
		{address("0.0.0.0:7720"), `.*not an IP address and port`},
		{address("host:7720"), `.*not an IP address and port`},
		{address("10.1.0.1"), `.*not an IP address and port`},
		{address(strings.Repeat("1", 64<<10)), `.*not an IP address and port`},
		{address("[fe80::1%" + strings.Repeat("x", 60000) + "]:7720"), `.*not an IP address and port`},
		{address(""), `.*has no address`},
		{`{"name":"a1","role":"agent"}`, `.*has no address`},
		{`{"name":"a1","role":"entry","address":"10.1.0.1:7720"}`, `.*has no address`},
		{`{"name":"a1","role":"entry","directory":"10.1.0.1:99999"}`, `.*not an IP address and port`},
		{`{"name":"a1","role":"agent","address":"10.1.0.1:7720","directory":"x"}`, `.*not an IP address and port`},
		{`{"name":"a1","role":"king","address":"10.1.0.1:7720"}`, `.*unknown role "king"`},
		{`{"name":"a2","role":"agent","address":"10.1.0.1:7720"}`, `.*names member "a2"`},
		{`{"role":"agent","address":"10.1.0.1:7720"}`, `.*no valid name.*`},
		{`{"name":7,"role":"agent","address":"10.1.0.1:7720"}`, `.*decode member: .*`},
		{`{"name":"a1","role":"agent","address":1e400}`, `.*decode member: .*`},
		{"\xff\xfe{}", `.*decode member: .*`},
		{``, `.*decode member: .*`},
		{`[]`, `.*decode member: .*`},
		{strings.Repeat(`{"name":`, 20000), `.*decode member: .*`},
		{strings.Repeat(`[`, 200000), `.*decode member: .*`},
	} {
		_, err := DecodeMember(Row{Key: "a1", Value: []byte(tc.value)})
		qt.Check(t, err, qt.ErrorMatches, `row "a1".*`+tc.message, qt.Commentf("%.80s", tc.value))
		qt.Check(t, len(fmt.Sprint(err)) < 400, qt.IsTrue, qt.Commentf("the error has %d bytes", len(fmt.Sprint(err))))
	}
	m, err := DecodeMember(Row{Key: "a1", Value: []byte(`{"name":"a1","role":"agent","address":"10.1.0.1:7720","new":[1]}`)})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, m, qt.Equals, Member{Name: "a1", Role: RoleAgent, Address: "10.1.0.1:7720"})
}

// Guards against a log that grows with each read of an odd entry.
func TestRejectedEntryIsReportedOncePerChange(t *testing.T) {
	var r Rejected
	qt.Assert(t, r.Add("a1", []byte("x")), qt.IsTrue)
	qt.Assert(t, r.Add("a1", []byte("x")), qt.IsFalse)
	qt.Assert(t, r.Add("a2", []byte("x")), qt.IsTrue)
	qt.Assert(t, r.Add("a1", []byte("y")), qt.IsTrue)
	r.Remove("a1")
	qt.Assert(t, r.Add("a1", []byte("y")), qt.IsTrue)
	for i := range 5 * maxRejected {
		r.Add(fmt.Sprint(i), nil)
	}
	qt.Assert(t, len(r.hashes) <= maxRejected, qt.IsTrue)
}

// Guards against a member that a decoder accepts and that can't be used.
func FuzzDecodeMember(f *testing.F) {
	f.Add("a1", []byte(`{"name":"a1","role":"agent","address":"10.1.0.1:7720"}`))
	f.Add("e1", []byte(`{"name":"e1","role":"entry","directory":"[::1]:8166"}`))
	f.Add("a1", []byte(`{"name":"a1","role":"agent","address":"10.1.0.1:65536"}`))
	f.Add("a1", []byte(`{"name":"a1","role":"agent","address":":1"}`))
	f.Add("a1", []byte(strings.Repeat(`[`, 20000)))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		m, err := DecodeMember(Row{Key: key, Value: value})
		if err != nil {
			return
		}
		qt.Assert(t, m.Name, qt.Equals, key)
		encoded, err := json.Marshal(m)
		qt.Assert(t, err, qt.IsNil)
		again, err := DecodeMember(Row{Key: key, Value: encoded})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.Equals, m)
	})
}
