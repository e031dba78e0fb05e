// Command sesamelift-agent runs beside a backend server and runs tasks on it.
package main

import (
	"context"
	"os"

	"github.com/sesamelift/sesamelift/agent"
	"github.com/sesamelift/sesamelift/daemon"
	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/signals/early"
)

func main() { os.Exit(newDaemon().Run(os.Args[1:], os.Stdout, os.Stderr)) }

func newDaemon() *daemon.Daemon {
	var s settings.Agent
	return &daemon.Daemon{
		Name: "sesamelift-agent", EnvPrefix: "SESAMELIFT_AGENT", MetricsPrefix: "sesamelift_agent", Signals: early.Received(),
		Read: func(file string) (daemon.CommonSettings, error) {
			err := settings.Read(file, &s)
			return daemon.CommonSettings{
				PlatformAddress: s.PlatformAddress, TLS: s.TLS, Logging: s.Logging, Tracing: s.Tracing, Processors: s.Processors,
			}, err
		},
		Serve: func(drain, stop context.Context, deps daemon.Dependencies) error {
			a, err := agent.New(agent.Options{
				Settings: &s, Credentials: deps.Credentials, Platform: deps.Platform, Log: deps.Log,
				Metrics: deps.Metrics, MetricsHandler: deps.MetricsHandler, Tracer: deps.Tracer,
			})
			if err != nil {
				return err
			}
			defer context.AfterFunc(stop, a.Abort)()
			return a.Run(drain)
		},
	}
}
