// Command sesamelift-platform-entry accepts jobs from callers and dispatches their tasks to agents on the users' platform.
package main

import (
	"os"

	"github.com/sesamelift/sesamelift/host"
	"github.com/sesamelift/sesamelift/signals/early"
)

func main() { os.Exit(host.RunEntry(os.Args[1:], early.Received(), os.Stdout, os.Stderr)) }
