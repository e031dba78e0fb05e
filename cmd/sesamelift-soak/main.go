// Command sesamelift-soak runs the fault soak with fresh or given seeds.
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
	seeds := flags.Int("seeds", 10, "number of fresh seeds")
	first := flags.Uint64("seed", 0, "play this seed only; 0 draws fresh ones")
	parallel := flags.Int("parallel", 2, "seeds that are played at a time")
	programs := flags.String("programs", "bin", "folder with the programs")
	dir := flags.String("dir", "run/soak", "folder for settings and logs")
	rate := flags.Float64("faults", 1.5, "faults a second")
	_ = ff.Parse(flags, os.Args[1:])
	list := make(chan uint64, *seeds)
	if *first != 0 {
		*seeds = 1
		list <- *first
	}
	for len(list) < *seeds {
		list <- uint64(rand.Uint32())
	}
	close(list)
	var wg sync.WaitGroup
	var mu sync.Mutex
	violations := 0
	for range *parallel {
		wg.Go(func() {
			for seed := range list {
				var out bytes.Buffer
				found, err := soak.Run(soak.Options{
					Seed: seed, Programs: *programs, Dir: filepath.Join(*dir, fmt.Sprint(seed)), Entries: 3, Agents: 4, FaultsPerSecond: *rate, Out: &out,
				})
				if err != nil {
					found = append(found, err.Error())
				}
				mu.Lock()
				violations += len(found)
				fmt.Print(out.String())
				for _, v := range found {
					fmt.Printf("seed %d: VIOLATION: %s\n", seed, v)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Printf("soak: %d seeds, %d violations\n", *seeds, violations)
	if violations > 0 {
		os.Exit(1)
	}
}
