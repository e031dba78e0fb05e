// Package telemetry sets up structured logs, metrics and traces.
//
// Input: settings. Output: a logger, a metrics scope with its HTTP handler, a
// tracer. State: the exporters.
package telemetry
