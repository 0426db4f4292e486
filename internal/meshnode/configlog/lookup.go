package configlog

import (
	"fmt"

	"github.com/sliplift/sliplift/internal/api"
)

// lookupResult tells the fate of a change from the newest known log, the
// revision at which its answer was lost (zero if not known), and the error of
// the last read.
func lookupResult(log *Log, id string, openRevision int64, readErr error) Result {
	if revision, ok := log.Find(id); ok {
		return acceptedResult(id, revision)
	}
	// The id that took the open revision must still be remembered: else this
	// change's may have been forgotten just the same.
	if winner, ok := log.idAt(openRevision); ok && winner != id {
		return Result{
			Outcome: OutcomeConflict, ID: id, Revision: log.Revision(), BeatenBy: openRevision, Code: api.CodeRevisionConflict,
			Message: fmt.Sprintf("not accepted: revision %d is another change", openRevision),
		}
	}
	result := Result{Outcome: OutcomeUnknown, ID: id, Revision: log.Revision(), OpenRevision: openRevision, Code: api.CodeNotFound}
	if readErr != nil {
		result.Code = api.CodeStoreUnavailable
		result.Message = fmt.Sprintf("the table does not answer (%v) and revision %d does not hold the change", readErr, log.Revision())
		return result
	}
	result.Message = fmt.Sprintf("not in the log as of revision %d; a write may still be under way", log.Revision())
	return result
}
