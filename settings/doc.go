// Package settings reads the settings files of the programs: JSON with comments.
//
// Input: a file. Output: typed settings, or all faults of the file at once, each
// with its line. State: none.
package settings
