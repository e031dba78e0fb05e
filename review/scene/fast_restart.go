package main

import (
	"sync"
	"time"
)

// fastRestart: the process of a worker is killed, and its supervisor starts it again at
// once, under the same id.
func fastRestart(d *deployment, trouble bool) {
	const (
		rounds       = 20
		interval     = 1500 * time.Millisecond
		restartDelay = 60 * time.Millisecond
		callers      = 24
	)
	d.configure(7, queue)
	entries := []*process{d.startEntry("edge-1"), d.startEntry("edge-2")}
	workers := d.startWorkers()
	d.awaitServing(entries, workers...)
	var wg sync.WaitGroup
	end := time.Now().Add(rounds * interval)
	for i := range callers {
		wg.Go(func() { d.callUntil(end, entries, 60+30*i, 1+i%4) })
	}
	for time.Now().Before(end) {
		time.Sleep(interval)
		if !trouble {
			continue
		}
		workers[1].crash()
		time.Sleep(restartDelay)
		if err := workers[1].start(); err != nil {
			panic(cannotRun(err.Error()))
		}
	}
	wg.Wait()
	d.checkTwice()
}
