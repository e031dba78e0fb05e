// Package version provides the version of the programs.
//
// Input: none. Output: a string. State: none.
package version

import "runtime/debug"

// Number is the version of this source tree.
const Number = "0.1.0"

// String returns the version, followed by the first 12 characters of the VCS
// revision in parentheses if the build recorded it.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Number
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Number + " (" + s.Value[:min(12, len(s.Value))] + ")"
		}
	}
	return Number
}
