// Command sesamelift-soak runs the fault-injection soak test with random seeds or a
// given one.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"

	"github.com/peterbourgon/ff/v3"

	"github.com/sesamelift/sesamelift/soak"
)

func main() {
	flags := flag.NewFlagSet("sesamelift-soak", flag.ExitOnError)
	seeds := flags.Int("seeds", 10, "number of random seeds")
	singleSeed := flags.Uint64("seed", 0, "run only this seed; 0 chooses random seeds")
	parallel := flags.Int("parallel", 2, "number of seeds to run in parallel")
	programs := flags.String("programs", "bin", "directory that holds the programs")
	dir := flags.String("dir", "run/soak", "directory for the settings and logs of each run")
	rate := flags.Float64("faults", 1.5, "faults injected per second")
	entries := flags.Int("entries", 3, "number of entries of each run")
	agents := flags.Int("agents", 4, "number of agents of each run")
	lifeRate := flags.Float64("life-faults", 1, "faults in which one life of a process meets the next, injected per second")
	hostRate := flags.Float64("host-faults", 0.7, "faults that slow down or cut off a host, or overlap on it, injected per second")
	evacuate := flags.Bool("evacuate", true, "have a zone evacuated in each run, which makes it 6 s longer")
	cancel := flags.Bool("cancel", true, "have callers cancel jobs at entries that don't run them")
	_ = ff.Parse(flags, os.Args[1:])
	seedQueue := make(chan uint64, *seeds)
	if *singleSeed != 0 {
		*seeds = 1
		seedQueue <- *singleSeed
	}
	for len(seedQueue) < *seeds {
		seedQueue <- uint64(rand.Uint32())
	}
	close(seedQueue)
	var wg sync.WaitGroup
	var mu sync.Mutex
	totalViolations := 0
	for range *parallel {
		wg.Go(func() {
			for seed := range seedQueue {
				var out bytes.Buffer
				violations, err := soak.Run(soak.Options{
					Seed: seed, Programs: *programs, Dir: filepath.Join(*dir, fmt.Sprint(seed)), Entries: *entries, Agents: *agents, FaultsPerSecond: *rate, LifeFaultsPerSecond: *lifeRate, HostFaultsPerSecond: *hostRate, EvacuateZone: *evacuate, Cancel: *cancel, Out: &out,
				})
				if err != nil {
					violations = append(violations, err.Error())
				}
				mu.Lock()
				totalViolations += len(violations)
				fmt.Print(out.String())
				for _, v := range violations {
					fmt.Printf("seed %d: VIOLATION: %s\n", seed, v)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Printf("soak: %d seeds, %d violations\n", *seeds, totalViolations)
	if totalViolations > 0 {
		os.Exit(1)
	}
}
