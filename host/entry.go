package host

import (
	"io"
	"net/http"
	"os"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/dispatchd"
	"github.com/sesamelift/sesamelift/platform"
)

// RunEntry runs an entry with the given arguments, without the program name, until it is
// terminated, and returns the exit code. received are the signals of the process.
func RunEntry(args []string, received <-chan os.Signal, stdout, stderr io.Writer) int {
	return runCommand("sesamelift-platform-entry", false, args, received, stdout, stderr, setupEntry)
}

func setupEntry(p *process) error {
	s := p.settings
	if len(s.KeepApart) > 0 {
		var pairs [][2]string
		for _, pair := range s.KeepApart {
			pairs = append(pairs, [2]string{pair.Kind, pair.Neighbor})
		}
		p.log.Add(decisions.Info("queues are kept apart by the settings", "pairs", pairs))
	}
	var callerServer *http.Server
	d := dispatchd.New(dispatchd.Options{
		Name: s.Name, Zone: s.Zone, Incarnation: p.incarnation, Timings: p.timings, RackSlowdown: s.RackSlowdown, KeepApart: s.KeepApart,
		Store: platform.NewStore(s.StoreAddress), ConfigTable: platform.ConfigTable, ConfigKey: platform.ConfigKey,
		DecodeConfig: platform.DecodeConfig, EvacuatedZone: platform.EvacuatedZone, DirectoryAddress: s.ControlAddress, Seeds: s.Seeds,
		GracePeriod: s.GracePeriod, CloseConnections: func() { callerServer.SetKeepAlivesEnabled(false) },
		WorkBytes: p.limits.WorkBytes, MaxAnnounced: p.limits.Members, Log: p.log, Metrics: p.metrics,
	})
	var err error
	callerServer, err = p.addServer("callers", s.CallerAddress, closeAfterResponse(d, platform.CallerHandler(d)), p.guard.ListenForCallers)
	if err != nil {
		return err
	}
	if _, err := p.addServer("readiness", s.ReadyAddress, platform.ReadyHandler(d), p.serviceListener("readiness")); err != nil {
		return err
	}
	if _, err := p.addServer("directory", s.ControlAddress, d.DirectoryHandler(), p.serviceListener("directory")); err != nil {
		return err
	}
	p.operators.Handle(platform.ExplainPath, platform.ExplainHandler(d))
	p.group.Add(func() error { d.Run(p.drainCtx); return nil }, func(error) {})
	return nil
}

// closeAfterResponse closes connections after the response while the entry drains,
// or once it has been overloaded for some time. Idle connections stay open
// until the platform sends no more requests, since one could be under way.
func closeAfterResponse(d *dispatchd.Dispatcher, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.CloseAfterResponse() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
