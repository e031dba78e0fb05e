// Command sesamelift-entry accepts jobs from callers and dispatches their tasks
// to agents.
package main

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/daemon"
	"github.com/sesamelift/sesamelift/entry"
	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/signals/early"
)

func main() { os.Exit(newDaemon().Run(os.Args[1:], os.Stdout, os.Stderr)) }

func newDaemon() *daemon.Daemon {
	var s settings.Entry
	return &daemon.Daemon{
		Name: "sesamelift-entry", EnvPrefix: "SESAMELIFT_ENTRY", MetricsPrefix: "sesamelift_entry", Signals: early.Received(),
		Read: func(file string) (daemon.CommonSettings, error) {
			err := settings.Read(file, &s)
			return daemon.CommonSettings{
				PlatformAddress: s.PlatformAddress, TLS: s.TLS, Logging: s.Logging, Tracing: s.Tracing, Processors: s.Processors,
			}, err
		},
		Serve: func(drain, stop context.Context, deps daemon.Dependencies) error {
			return serve(drain, stop, entry.Options{
				Settings: &s, Credentials: deps.Credentials, Platform: deps.Platform, Log: deps.Log,
				Metrics: deps.Metrics, MetricsHandler: deps.MetricsHandler, Tracer: deps.Tracer,
			})
		},
	}
}

// serve runs the entry and returns when it has ended or stop is cancelled.
func serve(drain, stop context.Context, o entry.Options) error {
	served := make(chan error, 1)
	go func() { served <- serveIncarnations(drain, o) }()
	select {
	case err := <-served:
		return err
	case <-stop.Done():
		return daemon.ErrStopped
	}
}

// serveIncarnations runs the entry, and starts a new incarnation whenever the
// peers have removed the current one from the roster.
func serveIncarnations(ctx context.Context, o entry.Options) error {
	for {
		e, err := entry.New(o)
		if err != nil {
			return err
		}
		if err = e.Run(ctx); !errors.Is(err, entry.ErrRemoved) {
			return err
		}
		o.Log.Warn("this incarnation was removed from the roster; starting a new one")
	}
}
