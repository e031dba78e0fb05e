package dispatchd

import "time"

const (
	// overloadLag is the mean lag of the event loop above which an entry is
	// overloaded: half of the shortest slack of a job of 50 ms.
	overloadLag = 40 * time.Millisecond
	// recoveredLag is the mean lag below which the overload has ended.
	recoveredLag = 10 * time.Millisecond
	// lagAveragingTime is the time constant of the mean. maxLagSample limits the
	// lag of one tick, so that a single pause does not count as an overload.
	lagAveragingTime = time.Second
	maxLagSample     = 150 * time.Millisecond
	// minOverloadDuration is the minimum time that an entry stays out of rotation: the
	// platform takes two seconds to react, and waiting work has to be completed.
	minOverloadDuration = 3 * time.Second
	// closeConnsAfter is the time after which the platform sends new connections
	// to other entries: two failed readiness checks, one second apart.
	closeConnsAfter = 2200 * time.Millisecond
)

// lagMeter measures how late the event loop runs. An entry whose processor is
// too slow for its load would answer every job late while other entries are
// idle.
type lagMeter struct {
	lastTick time.Duration
	mean     time.Duration
	// overloadedSince is when the overload began; 0 if there is none.
	overloadedSince time.Duration
}

// tick records a tick of the event loop, due every interval. It reports whether
// an overload has begun or ended.
func (m *lagMeter) tick(now, interval time.Duration) (changed bool) {
	if m.lastTick > 0 {
		lag := min(max(now-m.lastTick-interval, 0), maxLagSample)
		m.mean += time.Duration(float64(lag-m.mean) * float64(lag+interval) / float64(lagAveragingTime))
	}
	m.lastTick = now
	switch {
	case m.overloadedSince == 0 && m.mean > overloadLag:
		m.overloadedSince = now
		return true
	case m.overloadedSince > 0 && m.mean < recoveredLag && now-m.overloadedSince >= minOverloadDuration:
		m.overloadedSince = 0
		return true
	}
	return false
}

func (m *lagMeter) overloaded() bool { return m.overloadedSince > 0 }

// closeAfterResponse reports whether connections are to be closed after their
// response. Until closeConnsAfter has passed, clients that reconnect could reach
// this entry again.
func (m *lagMeter) closeAfterResponse(now time.Duration) bool {
	return m.overloadedSince > 0 && now-m.overloadedSince >= closeConnsAfter
}
