package routes

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that is matched to a queue of another host, or to a
// queue with a shorter prefix although a longer one matches.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	var h Holder
	_, _, ok := h.Match("a.example", "/x/1")
	qt.Assert(t, ok, qt.IsFalse)
	h.Adopt(&Config{Version: 3, Queues: []Queue{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}})
	for _, tc := range []struct{ host, path, name, rest string }{
		{"a.example", "/x/1", "short", "1"},
		{"a.example", "/x/y/1", "long", "1"},
		{"b.example", "/x/y/1", "other", "y/1"},
		{"c.example", "/x/1", "", ""},
		{"a.example", "/z/1", "", ""},
	} {
		q, rest, ok := h.Match(tc.host, tc.path)
		qt.Assert(t, ok, qt.Equals, tc.name != "")
		if ok {
			qt.Assert(t, q.Name, qt.Equals, tc.name)
			qt.Assert(t, rest, qt.Equals, tc.rest)
		}
	}
}

// Guards against an older version that arrives late and replaces a newer one.
func TestVersionsNeverGoBack(t *testing.T) {
	var h Holder
	qt.Assert(t, h.Adopt(&Config{Version: 7}), qt.IsTrue)
	qt.Assert(t, h.Adopt(&Config{Version: 7}), qt.IsFalse)
	qt.Assert(t, h.Adopt(&Config{Version: 5}), qt.IsFalse)
	qt.Assert(t, h.Adopt(&Config{Version: 12}), qt.IsTrue)
	qt.Assert(t, h.Current().Version, qt.Equals, uint64(12))
}
