// Package ingress is the HTTP interface for callers and operators: it
// authenticates, rate-limits and parses requests and maps verdicts to status
// codes.
//
// Input: HTTP requests. Output: submissions to a Service, HTTP answers. State:
// the rate limiters of the teams.
package ingress
