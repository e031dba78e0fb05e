// Package standin holds stand-ins for the two outside systems that the product
// meets: the platform with its table and object store, and a backend server.
// Tests, the demo and the benchmark use them; faults can be set at run time.
//
// Input: requests, faults. Output: replies as the published interfaces have
// them. State: rows, objects, counters, in memory only. Everything here is safe
// for concurrent use.
package standin
