// Package settings reads the settings files of the programs: JSON with comments.
// On the users' platform, an entry or agent reads the platform's YAML file instead
// (package platform).
//
// Input: a file. Output: typed settings, or all faults of the file at once, each
// with its line. State: none.
package settings
