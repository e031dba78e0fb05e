package runner

import (
	"slices"
	"time"
)

const (
	// rateSpan is the shortest time over which progress is measured: percents
	// are whole numbers, and a renewal takes some milliseconds.
	rateSpan = 60 * time.Millisecond
	// endedWeight is how long the rate of a finished run counts.
	endedWeight = 400 * time.Millisecond
	// priorSamples is how many runs the long-term speed weighs.
	priorSamples = 1
	// longTerm is the time over which the long-term speed follows the present.
	longTerm = 4 * time.Second
	// forgetAfter is how long without a run the present speed is believed.
	forgetAfter = 1500 * time.Millisecond
	// degradedFactor is the fall of speed that isn't taken over into the
	// long-term speed at once.
	degradedFactor = 0.4
)

// speedMeter estimates the speed of a worker: the declared run time of tasks
// over the measured one. Declared times are off by a factor of two, so that the
// median over several runs counts.
type speedMeter struct {
	long    float64
	present float64
	samples []rateSample
	at      time.Duration
	sampled time.Duration
}

type rateSample struct {
	rate float64
	at   time.Duration
}

func newSpeedMeter() *speedMeter { return &speedMeter{long: 1, present: 1} }

// ended takes the rate of a finished run.
func (m *speedMeter) ended(now time.Duration, rate float64) {
	m.samples = append(m.samples, rateSample{rate, now})
}

// update takes the rates of the runs in progress.
func (m *speedMeter) update(now time.Duration, running []float64) {
	m.samples = slices.DeleteFunc(m.samples, func(s rateSample) bool { return now-s.at > endedWeight })
	rates := slices.Clone(running)
	for _, s := range m.samples {
		rates = append(rates, s.rate)
	}
	elapsed := now - m.at
	m.at = now
	if len(rates) == 0 {
		if now-m.sampled > forgetAfter {
			m.present = m.long
		}
		return
	}
	m.sampled = now
	slices.Sort(rates)
	n := float64(len(rates))
	median := rates[len(rates)/2]
	m.present = (n*median + priorSamples*m.long) / (n + priorSamples)
	weight := min(float64(elapsed)/float64(longTerm), 1)
	if m.present < degradedFactor*m.long {
		weight /= 4
	}
	m.long += (m.present - m.long) * weight
}

func (m *speedMeter) speed() float64 { return m.present }
