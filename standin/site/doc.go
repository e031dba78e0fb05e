// Package site simulates the workers of the users' platform, which run tasks under
// leases as requested by the agent on the same host. The workers of a test share
// an Audit, which detects violations that involve several workers.
//
// Input: requests in the platform's published protocol, faults. Output: replies.
// State: runs, in memory only. All types are safe for concurrent use.
package site
