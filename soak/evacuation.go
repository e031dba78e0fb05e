package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// evacuationBound is the time after which no task may start in a zone that the operator
	// has evacuated.
	evacuationBound = 5 * time.Second
	evacuationRow   = "evacuate/"
)

// evacuateZone has a zone evacuated for longer than evacuationBound, in half of the runs
// after it was evacuated and restored shortly before. It returns the zone once it is restored.
func (d *deployment) evacuateZone(o *Options, r *rand.Rand) (zone string) {
	zone = []string{"z1", "z2"}[r.IntN(2)]
	pause := func(shortest, longest time.Duration) {
		time.Sleep(shortest + time.Duration(r.Int64N(int64(longest-shortest))))
	}
	pause(0, 1500*time.Millisecond)
	if r.IntN(2) == 0 {
		d.store.Put("op", evacuationRow+zone, []byte("briefly"))
		pause(0, 1500*time.Millisecond)
		d.store.Remove("op", evacuationRow+zone)
		pause(0, 500*time.Millisecond)
	}
	d.store.Put("op", evacuationRow+zone, nil)
	evacuatedAt := time.Now()
	d.audit.EvacuateZone(zone, evacuatedAt.Add(evacuationBound))
	d.printf(o.Out, "seed %d: %s evacuate zone %s\n", o.Seed, evacuatedAt.UTC().Format("05.000"), zone)
	d.trace("zone %s evacuated", zone)
	pause(evacuationBound+500*time.Millisecond, evacuationBound+2500*time.Millisecond)
	d.audit.RestoreZone(zone)
	last := d.audit.LastStart(zone)
	d.store.Remove("op", evacuationRow+zone)
	d.trace("zone %s restored", zone)
	d.printf(o.Out, "seed %d: %s zone %s restored, last start there %d ms after the evacuation\n",
		o.Seed, time.Now().UTC().Format("05.000"), zone, max(last.Sub(evacuatedAt), 0).Milliseconds())
	return zone
}

// checkZoneUsed checks that tasks start in a zone after its restoration, if the workers of
// the other zone can't run all at once.
func (d *deployment) checkZoneUsed(zone string) {
	before, tasks := d.audit.StartsInZone(zone), (len(d.agents)+1)*workerMilliCPU/taskMilliCPU
	deadline := time.Now().Add(recoveryTimeout)
	for n := 0; d.audit.StartsInZone(zone) == before; n++ {
		if time.Now().After(deadline) {
			d.violation("no task starts in zone %s within %v after its restoration", zone, recoveryTimeout)
			return
		}
		_, _ = submit(d.entries[n%len(d.entries)], fmt.Sprintf("fffe%04x%08x", n, uint32(time.Now().UnixNano())), time.Second, jobBody(tasks, 20, taskMilliCPU))
	}
}
