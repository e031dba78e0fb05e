package main

import (
	"sync"
	"time"
)

// doubleCrash: an agent is killed, started again and killed once more shortly after its
// start.
func doubleCrash(d *deployment, trouble bool) {
	const (
		rounds       = 20
		interval     = 2500 * time.Millisecond
		restartDelay = 500 * time.Millisecond
		callers      = 32
	)
	// lives are how long the agent runs between the two kills, one round after the other.
	lives := []time.Duration{40 * time.Millisecond, 50 * time.Millisecond, 60 * time.Millisecond, 80 * time.Millisecond, 100 * time.Millisecond}
	d.configure(7, queue)
	entries := []*process{d.startEntry("edge-1"), d.startEntry("edge-2")}
	workers := d.startWorkers()
	d.awaitServing(entries, workers...)
	var wg sync.WaitGroup
	end := time.Now().Add(rounds * (interval + 2*restartDelay))
	for range callers {
		wg.Go(func() { d.callUntil(end, entries, 3000, 1) })
	}
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(interval)
		if !trouble {
			continue
		}
		w := workers[0]
		for range 2 {
			d.kill(w.agent)
			time.Sleep(restartDelay)
			d.run(w.agent)
			time.Sleep(lives[n%len(lives)])
		}
	}
	wg.Wait()
	d.checkTwice()
}
