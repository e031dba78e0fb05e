// Package site holds stand-ins of the workers of the users' platform, which run
// tasks under leases on the orders of the agent beside them. An Audit shared by
// the workers of a test sees what no single one can.
//
// Input: requests in the platform's published protocol, faults. Output: replies.
// State: runs, in memory only. Everything here is safe for concurrent use.
package site
