// Command scenes2 plays the scenes of the review in the folders beside it.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a scene.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: scenes2 SCENE RECORD")
		os.Exit(couldNot)
	}
	scene, ok := scenes[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scene", os.Args[1])
		os.Exit(couldNot)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	code, message := scene(rec, os.Getenv("TROUBLE") != "0")
	rec.add("result", code, message)
	fmt.Println(message)
	os.Exit(code)
}
