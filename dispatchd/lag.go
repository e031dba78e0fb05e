package dispatchd

import "time"

const (
	// maxLag is the mean lag of the core loop above which an entry is too slow for
	// what arrives: half of the shortest slack of a job of 50 ms.
	maxLag = 40 * time.Millisecond
	// calmLag is the mean lag below which it has caught up.
	calmLag = 10 * time.Millisecond
	// lagTime is the time over which the mean follows; lagCap bounds what one tick
	// counts, so that a single pause doesn't.
	lagTime = time.Second
	lagCap  = 150 * time.Millisecond
	// minOverload is how long an entry stays out of rotation: the platform takes
	// two seconds to act on it, and what waits has to be worked off.
	minOverload = 3 * time.Second
	// closeAfter is when the platform sends new connections elsewhere: after two
	// readiness checks, one second apart.
	closeAfter = 2200 * time.Millisecond
)

// lagMeter follows how late the core loop runs. An entry whose processor is too
// slow for what arrives would answer everything late, while others are idle.
type lagMeter struct {
	last time.Duration
	mean time.Duration
	// since is when the overload began; 0 when there is none.
	since time.Duration
}

// tick takes note of a tick of the core loop, due every interval. It reports
// whether the overload has begun or ended.
func (m *lagMeter) tick(now, interval time.Duration) (changed bool) {
	if m.last > 0 {
		lag := min(max(now-m.last-interval, 0), lagCap)
		m.mean += time.Duration(float64(lag-m.mean) * float64(lag+interval) / float64(lagTime))
	}
	m.last = now
	switch {
	case m.since == 0 && m.mean > maxLag:
		m.since = now
		return true
	case m.since > 0 && m.mean < calmLag && now-m.since >= minOverload:
		m.since = 0
		return true
	}
	return false
}

func (m *lagMeter) overloaded() bool { return m.since > 0 }

// closing says whether connections are to be closed after their answer, since
// their clients would be sent to another entry.
func (m *lagMeter) closing(now time.Duration) bool { return m.since > 0 && now-m.since >= closeAfter }
