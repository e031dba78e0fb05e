// Package standin simulates the two external systems that the product depends
// on: the platform, with its table and object store, and a backend server.
// Tests, the demo and the benchmark use them. Faults can be injected at run time.
//
// Input: requests, faults. Output: replies that follow the published interfaces.
// State: rows, objects and counters, in memory only. All types are safe for
// concurrent use.
package standin
