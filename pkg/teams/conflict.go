package teams

import (
	"fmt"

	"almondturn/fleet"
)

// ConflictError reports that a change was refused, because another change of the same
// team has been accepted since the operator read the subtree.
type ConflictError struct {
	Team fleet.Team
	// Expected is the revision that the operator read, Current the accepted one.
	Expected, Current uint64
	// Author is the author of Current.
	Author string
	// Theirs are the changes from Expected to Current; nil if revision Expected could
	// not be read, or does not differ from Current. Error does not distinguish the two:
	// unless Expected is 0, it says that the revision is no longer kept. Yours are the
	// changes from Expected
	// to the operator's file. If Expected could not be read, they are the changes from
	// Current to the file.
	Theirs, Yours []Difference
}

// maxConflictPaths is the maximum number of paths of each side in the message of a
// ConflictError.
const maxConflictPaths = 50

// Error returns a message for the operator with the changes of both sides and the
// paths on which they conflict.
func (e *ConflictError) Error() string {
	msg := fmt.Sprintf("team %q is at revision %d (by %s), your change is based on revision %d; read it again and repeat your edit\n", e.Team, e.Current, e.Author, e.Expected)
	base := fmt.Sprintf("revision %d", e.Expected)
	if e.Theirs == nil && e.Expected == 0 {
		msg = fmt.Sprintf("team %q exists already, at revision %d (by %s); your file against it:\n", e.Team, e.Current, e.Author)
		return msg + FormatDiff(fmt.Sprintf("revision %d", e.Current), "yours", e.Yours, maxConflictPaths)
	}
	if e.Theirs == nil {
		msg += fmt.Sprintf("revision %d is no longer kept; your file against revision %d:\n", e.Expected, e.Current)
		return msg + FormatDiff(fmt.Sprintf("revision %d", e.Current), "yours", e.Yours, maxConflictPaths)
	}
	msg += FormatDiff(base, fmt.Sprintf("revision %d (accepted)", e.Current), e.Theirs, maxConflictPaths)
	msg += FormatDiff(base, "yours", e.Yours, maxConflictPaths)
	for _, path := range ConflictingPaths(e.Theirs, e.Yours) {
		msg += "changed on both sides: " + path + "\n"
	}
	return msg
}
