// Command sesamelift submits jobs and operates a sesamelift deployment.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mattn/go-isatty"

	"github.com/sesamelift/sesamelift/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr, isatty.IsTerminal(os.Stderr.Fd()))
	stop()
	os.Exit(code)
}
