package ingress

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
)

// statusText serves the status page. Without the operator's token it shows only
// whether the entry is ready.
func (s *Server) statusText(c echo.Context) error {
	var b strings.Builder
	if !s.isOperator(c) {
		state := s.options.Service.NotReadyReason()
		if state == "" {
			state = "ready"
		}
		fmt.Fprintf(&b, "%s\nDetails need the operator's token (header Authorization: Bearer TOKEN).\n", state)
		return c.String(http.StatusOK, b.String())
	}
	st := s.options.Service.Status(c.Request().Context())
	writeStatus(&b, st)
	writeWorkers(&b, s.options.Service.Workers(c.Request().Context()))
	return c.String(http.StatusOK, b.String())
}

func writeStatus(b *strings.Builder, st *Status) {
	ready := "yes"
	if !st.Ready {
		ready = "no: " + st.NotReady
	}
	reachable := "yes"
	if !st.PlatformReachable {
		reachable = "no, last reached " + st.PlatformLastReached
	}
	fmt.Fprintf(b, "entry            %s (zone %s, version %s)\n", st.Entry, st.Zone, st.Version)
	fmt.Fprintf(b, "ready            %s\n", ready)
	fmt.Fprintf(b, "entries          %s (roster version %d)\n", strings.Join(st.Entries, ", "), st.RosterVersion)
	fmt.Fprintf(b, "configuration    version %d\n", st.ConfigVersion)
	fmt.Fprintf(b, "platform reached %s\n", reachable)
	fmt.Fprintf(b, "jobs in progress %d\n", st.Jobs)
	fmt.Fprintf(b, "tasks waiting    %d\n", st.QueuedTasks)
	for _, q := range st.Queued {
		fmt.Fprintf(b, "  %-20s %-20s %d\n", q.Service, q.Team, q.Tasks)
	}
	for _, z := range st.EvacuatedZones {
		fmt.Fprintf(b, "evacuated        %s (%d workers, %d tasks still run there)\n", z.Zone, z.Workers, z.Running)
	}
	b.WriteString("\nWhat to do\n")
	for _, w := range st.Advice {
		fmt.Fprintf(b, "  - %s\n", w)
	}
}

func writeWorkers(b *strings.Builder, workers []Worker) {
	fmt.Fprintf(b, "\n%-20s %-14s %5s %7s %4s %7s  %s\n", "worker", "zone", "slots", "running", "held", "config", "state")
	for _, w := range workers {
		state := "ok"
		switch {
		case w.Ejected:
			state = "ejected: " + w.EjectionReason
		case w.Evacuated:
			state = "zone evacuated"
		case w.Leaving:
			state = "leaving"
		case w.Drained:
			state = "drained by configuration"
		}
		fmt.Fprintf(b, "%-20s %-14s %5d %7d %4d %7d  %s\n", w.Worker, w.Zone, w.Slots, w.Running, w.Held, w.ConfigVersion, state)
	}
}
