package runner

import (
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// maxKnownSpeeds is the number of worker instances whose known speed is kept, the most recent
// ones, until the agent knows which of them is its worker. Entries that were cut off at
// different times know different instances.
const maxKnownSpeeds = 4

// knownSpeed is a speed of a worker that an earlier process of the agent reported at a time.
type knownSpeed struct {
	workerID   string
	born       int64
	speed      float64
	reportedAt time.Duration
	entry      string
}

// learnSpeed takes over a speed in a message from an entry that had the connection at asOf.
// The age counts from then: the message may arrive much later.
func (s *State) learnSpeed(now, asOf time.Duration, entry string, k *link.KnownSpeed) {
	if k == nil || !k.Valid() || asOf < now-link.MaxKnownSpeedAge {
		return
	}
	known := knownSpeed{k.WorkerID, k.Born, float64(k.Speed), asOf - time.Duration(k.AgeMS)*time.Millisecond, entry}
	at := slices.IndexFunc(s.knownSpeeds, func(o knownSpeed) bool { return o.workerID == k.WorkerID && o.born == k.Born })
	switch {
	case at >= 0 && s.knownSpeeds[at].reportedAt >= known.reportedAt:
		return
	case at >= 0:
		s.knownSpeeds[at] = known
	case len(s.knownSpeeds) < maxKnownSpeeds:
		s.knownSpeeds = append(s.knownSpeeds, known)
	default:
		oldest := 0
		for i := range s.knownSpeeds {
			if s.knownSpeeds[i].reportedAt < s.knownSpeeds[oldest].reportedAt {
				oldest = i
			}
		}
		if known.reportedAt <= s.knownSpeeds[oldest].reportedAt {
			return
		}
		s.knownSpeeds[oldest] = known
	}
	s.useKnownSpeed(now)
}

// useKnownSpeed assumes the most recent known speed of the present worker as long as none of
// its runs has been measured.
func (s *State) useKnownSpeed(now time.Duration) {
	if s.worker == nil || s.speed.measured {
		return
	}
	for _, k := range s.knownSpeeds {
		if k.workerID != s.worker.ID || k.born != s.worker.Born || now-k.reportedAt > link.MaxKnownSpeedAge || s.speed.hasPrior && k.reportedAt <= s.speed.priorAt {
			continue
		}
		// Further entries usually know about the same speed, which is not worth a line.
		if !s.speed.hasPrior {
			s.log(decisions.Info("known speed of the worker is used", "life", k.workerID, "entry", k.entry, "speed", k.speed, "age_ms", (now - k.reportedAt).Milliseconds()))
		}
		s.speed.setPrior(k.speed, k.reportedAt)
	}
}
