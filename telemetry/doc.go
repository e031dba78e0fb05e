// Package telemetry sets up structured logs and metrics; package tracing sets up traces.
//
// Input: settings. Output: a logger, a metrics scope with its HTTP handler. State: the
// metrics, and the lines that wait to be written.
package telemetry
