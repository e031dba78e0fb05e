// Package api defines the types that callers see: the submission of a job, its
// answer, and the verdict that says whether any of it may have run.
//
// Values of this package are plain data; they are safe to share once they are no
// longer written to.
package api
