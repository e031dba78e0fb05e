// Program scene plays one case of the review: it starts the project's programs as
// separate processes on loopback, plays callers, workers and the store, and checks a
// rule against what these have seen.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
	// maxRunTime ends a case that hangs.
	maxRunTime = 110 * time.Second
)

// scenes maps the name of a case to its function. trouble says whether the disruption
// takes place.
var scenes = map[string]func(d *deployment, trouble bool){
	"foreign-heartbeat": foreignHeartbeat,
	"new-kind":          newKind,
	"fast-restart":      fastRestart,
	"double-crash":      doubleCrash,
	"early-reset":       earlyReset,
}

func main() {
	name := flag.String("scene", "", "the case to play")
	root := flag.String("root", ".", "the root of the repository")
	recordFile := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	scene := scenes[*name]
	if scene == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(exitCannotRun)
	}
	os.Exit(play(scene, *root, *recordFile, os.Getenv("TROUBLE") != "0"))
}

// cannotRun is the panic value of a case that could not run.
type cannotRun string

// play runs a case and returns the exit code.
func play(scene func(*deployment, bool), root, recordFile string, trouble bool) (code int) {
	rec, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	d, err := newDeployment(root, rec)
	if err != nil {
		rec.add("cannot run: %v", err)
		return exitCannotRun
	}
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxRunTime):
		}
		d.close()
		os.Exit(exitCannotRun)
	}()
	defer func() {
		switch v := recover().(type) {
		case nil:
		case cannotRun:
			rec.add("cannot run: %s", string(v))
			d.printLogs()
			code = exitCannotRun
		default:
			panic(v)
		}
	}()
	rec.add("disruption: %v", trouble)
	scene(d, trouble)
	if broken := rec.broken(); broken > 0 {
		rec.add("result: the rule was broken %d times", broken)
		return exitBroken
	}
	rec.add("result: the rule held")
	return exitHeld
}
