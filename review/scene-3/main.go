// Command scene3 plays the cases of this review against the project's programs.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: scene3 CASE RECORD")
		return cannotRun
	}
	s := newScene(os.Args[2], os.Getenv("TROUBLE") != "0")
	cases := map[string]func() bool{
		"crash": s.caseCrash, "cut": s.caseCut, "beat": s.caseBeat, "leave": s.caseLeave, "lives": s.caseLives, "restart": s.caseRestart, "kill": s.caseKill, "reset": s.caseReset,
	}
	f, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return cannotRun
	}
	defer func() {
		if r := recover(); r != nil {
			s.record("the case can't run: %v", r)
			fmt.Fprintln(os.Stderr, "the case can't run:", r)
			code = cannotRun
		}
		s.close()
	}()
	if f() {
		s.record("the rule held")
		return held
	}
	s.record("the rule was broken")
	return broken
}
