package link

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a speed that no worker has, which would keep tasks away from a worker or send
// all of them there, and against one that is out of date.
func TestLimitsOfKnownSpeeds(t *testing.T) {
	for _, tc := range []struct {
		k    KnownSpeed
		want bool
	}{
		{KnownSpeed{"w", 7, 0.55, 900}, true},
		{KnownSpeed{"w", 7, 4, 0}, true},
		{KnownSpeed{"w", 7, 0.1, 60000}, true},
		{KnownSpeed{"w", 7, 0.09, 0}, false},
		{KnownSpeed{"w", 7, 4.1, 0}, false},
		{KnownSpeed{"w", 7, -1, 0}, false},
		{KnownSpeed{"w", 7, float32(math.NaN()), 0}, false},
		{KnownSpeed{"w", 7, float32(math.Inf(1)), 0}, false},
		{KnownSpeed{"w", 7, 1, 60001}, false},
		{KnownSpeed{"w", 7, 1, -1}, false},
		{KnownSpeed{"w", 7, 1, math.MinInt64}, false},
		{KnownSpeed{"w", 7, 1, math.MaxInt64}, false},
		{KnownSpeed{"", 7, 1, 0}, false},
		{KnownSpeed{strings.Repeat("w", 257), 7, 1, 0}, false},
	} {
		qt.Check(t, tc.k.Valid(), qt.Equals, tc.want, qt.Commentf("%+v", tc.k))
	}
}
