// Package version tells which build this is.
package version

import "runtime/debug"

// number is the version of the source tree.
const number = "0.1.0"

// String returns the version and, where the build knows it, the commit.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return number
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return number + "+" + s.Value
		}
	}
	return number
}
