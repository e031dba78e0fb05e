// Package settings reads the settings files of the programs: JSON with comments.
//
// Input: a file. Output: typed settings, or all faults at once with file and
// line. State: none.
package settings
