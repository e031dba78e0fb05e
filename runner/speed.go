package runner

import (
	"slices"
	"time"
)

const (
	// minRateInterval is the shortest time over which progress is measured:
	// percentages are whole numbers, and a renewal takes some milliseconds.
	minRateInterval = 60 * time.Millisecond
	// finishedSpeedMaxAge is how long the speed of a finished run counts.
	finishedSpeedMaxAge = 400 * time.Millisecond
	// priorSamples is the weight of the long-term speed, in number of runs.
	priorSamples = 1
	// longTermWindow is the time constant with which the long-term speed adapts to
	// the current speed.
	longTermWindow = 4 * time.Second
	// currentSpeedMaxAge is how long the current speed stays valid while no run
	// provides a new one.
	currentSpeedMaxAge = 1500 * time.Millisecond
	// slowdownThreshold is the ratio of current to long-term speed below which the
	// long-term speed adapts at a quarter of the rate.
	slowdownThreshold = 0.4
)

// speedMeter estimates the speed of a worker: the declared run time of tasks
// divided by the measured one. Declared times are off by a factor of up to two,
// so the median over several runs is used.
type speedMeter struct {
	longTerm float64
	current  float64
	// samples are from recently finished runs.
	samples   []speedSample
	updatedAt time.Duration
	// lastSampleAt is when update last had the speed of any run, measured whether it ever had.
	lastSampleAt time.Duration
	measured     bool
	// hasPrior says that setPrior was called, and priorAt when that speed was reported.
	hasPrior bool
	priorAt  time.Duration
}

// speedSample is the speed of one finished run.
type speedSample struct {
	speed float64
	at    time.Duration
}

func newSpeedMeter() *speedMeter { return &speedMeter{longTerm: 1, current: 1} }

// setPrior sets the speed that is assumed until runs have been measured, which was reported at
// a time.
func (m *speedMeter) setPrior(speed float64, reportedAt time.Duration) {
	m.longTerm, m.current = speed, speed
	m.hasPrior, m.priorAt = true, reportedAt
}

// addFinished records the speed of a finished run.
func (m *speedMeter) addFinished(now time.Duration, speed float64) {
	m.samples = append(m.samples, speedSample{speed, now})
}

// update recomputes the speed of the worker from the speeds of the runs in
// progress and of recently finished runs.
func (m *speedMeter) update(now time.Duration, running []float64) {
	m.samples = slices.DeleteFunc(m.samples, func(s speedSample) bool { return now-s.at > finishedSpeedMaxAge })
	speeds := slices.Clone(running)
	for _, s := range m.samples {
		speeds = append(speeds, s.speed)
	}
	elapsed := now - m.updatedAt
	m.updatedAt = now
	if len(speeds) == 0 {
		if now-m.lastSampleAt > currentSpeedMaxAge {
			m.current = m.longTerm
		}
		return
	}
	m.lastSampleAt, m.measured = now, true
	slices.Sort(speeds)
	n := float64(len(speeds))
	median := speeds[len(speeds)/2]
	m.current = (n*median + priorSamples*m.longTerm) / (n + priorSamples)
	weight := min(float64(elapsed)/float64(longTermWindow), 1)
	if m.current < slowdownThreshold*m.longTerm {
		weight /= 4
	}
	m.longTerm += (m.current - m.longTerm) * weight
}

func (m *speedMeter) speed() float64 { return m.current }
