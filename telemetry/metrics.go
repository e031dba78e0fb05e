package telemetry

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally passes metric values to the
// Prometheus reporter.
const reportInterval = time.Second

// NewMetrics returns a root scope, a handler that serves its metrics in the
// Prometheus text format, and a closer that stops reporting. The metrics have
// their own registry instead of the global one, so that several daemons can run
// in one process.
func NewMetrics(prefix string) (tally.Scope, http.Handler, io.Closer) {
	registry := prom.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         r,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, r.HTTPHandler(), closer
}
