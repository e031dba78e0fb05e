package interleaving

import (
	"slices"
	"time"
)

const (
	evacuatedZone = "z2"
	// evacuationBound is the time after which no run may begin in an evacuated zone, and
	// evacuationDelay the longest that an entry takes to learn of it.
	evacuationBound = 5 * time.Second
	evacuationDelay = 2500 * ms
)

// zone is z, as that of the entries, but for one worker if a zone may be evacuated.
func (k *worker) zone() string {
	if k.agent == k.w.agents[0] && slices.Contains(k.w.kinds, evacuateZone) {
		return evacuatedZone
	}
	return "z"
}

// evacuate has the zone evacuated for a time, unless it is already.
func (w *world) evacuate(length time.Duration) {
	if w.evacuatedSince > 0 {
		return
	}
	w.evacuatedSince = w.now
	w.publishEvacuations()
	w.after(length, func() {
		w.evacuatedSince = 0
		w.publishEvacuations()
		w.note("", "fault", "zone %s is restored", evacuatedZone)
	})
}

func (w *world) evacuatedZones() []string {
	if w.evacuatedSince == 0 {
		return nil
	}
	return []string{evacuatedZone}
}

// publishEvacuations lets each entry learn of the change after a time of its own.
func (w *world) publishEvacuations() {
	w.evacuations++
	version, zones := w.evacuations, w.evacuatedZones()
	for _, e := range w.entries {
		w.after(w.between(0, evacuationDelay), func() {
			e.post(func(now time.Duration) { e.scheduler.SetEvacuated(now, version, zones) })
		})
	}
}
