// Package cli implements the commands of the program sesamelift.
//
// Input: arguments, files, answers of entries. Output: text or JSON, and an
// exit code. State: none.
package cli
