// Package cli implements the commands of the sesamelift program.
//
// Input: arguments, files, answers of entries. Output: text or JSON, and an
// exit code. State: none.
package cli
