// Command sesamelift-platform-agent runs tasks on the backend server beside it on the users' platform.
package main

import (
	"os"

	"github.com/sesamelift/sesamelift/host"
	"github.com/sesamelift/sesamelift/signals/early"
)

func main() { os.Exit(host.RunAgent(os.Args[1:], early.Received(), os.Stdout, os.Stderr)) }
