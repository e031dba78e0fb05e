package main

import (
	"sync"
	"time"
)

// doubleCrash: an agent is killed, started again and killed once more shortly after its
// start.
func doubleCrash(d *deployment, trouble bool) {
	const (
		rounds       = 12
		interval     = 4 * time.Second
		restartDelay = 500 * time.Millisecond
		// life is how long the agent runs between the two kills.
		life    = 100 * time.Millisecond
		callers = 32
	)
	d.configure(7, queue)
	entries := []*process{d.startEntry("edge-1"), d.startEntry("edge-2")}
	workers := d.startWorkers()
	d.awaitServing(entries, workers...)
	var wg sync.WaitGroup
	end := time.Now().Add(rounds * interval)
	for range callers {
		wg.Go(func() { d.callUntil(end, entries, 3000, 1) })
	}
	for time.Now().Before(end) {
		time.Sleep(interval)
		if !trouble {
			continue
		}
		w := workers[0]
		for range 2 {
			d.kill(w.agent)
			time.Sleep(restartDelay)
			d.run(w.agent)
			time.Sleep(life)
		}
	}
	wg.Wait()
	d.checkTwice()
}
