// Package ingress is the HTTP interface for callers and operators: it
// authenticates, rate-limits and parses requests and maps verdicts to status
// codes.
//
// The input is HTTP requests; the output is calls to a Service and HTTP responses.
// The only state is the rate limiters of the teams.
package ingress
