// Package version reports the version of the running build.
package version

import "runtime/debug"

// sourceVersion is the version of the source tree.
const sourceVersion = "0.1.0"

// String returns the version of the source tree and, if the build recorded it,
// the commit, as version+commit.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return sourceVersion
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return sourceVersion + "+" + s.Value
		}
	}
	return sourceVersion
}
