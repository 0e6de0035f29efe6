package api

import (
	"errors"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/wire"
)

// statusUnavailable means that the request may succeed when it is repeated.
const statusUnavailable = 503

// retryAfterS is the Retry-After of unavailable answers, in seconds: the shortest that the header can name.
const retryAfterS = 1

// rejection is an error with the status and the text that the user gets. The texts are part of the
// interface to users and are kept by the golden tests.
type rejection struct {
	status int
	text   string
}

// Error returns the text that the user gets.
func (r *rejection) Error() string { return r.text }

// Requests that can't succeed, whenever they are repeated.
var (
	errMethodNotAllowed = &rejection{405, "method not allowed"}
	errUnknownPath      = &rejection{404, "no such path"}
	errUnknownJob       = &rejection{404, "no such job"}
	errRecordTooLarge   = &rejection{400, "the job takes more than a record can hold"}
	errUnknownTeam      = &rejection{422, "unknown team"}
	errOverTeamLimit    = &rejection{422, "a task needs more than the team's limit"}
	errFitsNoMachine    = &rejection{422, "a task fits no allowed machine type"}
)

// Requests that may succeed later.
var (
	errMachineTypesUnknown = &rejection{statusUnavailable, "the machine types are not known yet"}
	errNotStored           = &rejection{statusUnavailable, "the job can't be stored now"}
	errStateUnreadable     = &rejection{statusUnavailable, "the job's state can't be read now"}
	errFinalStatePending   = &rejection{statusUnavailable, "the job's end is being written"}
	errNotCancelledYet     = &rejection{statusUnavailable, "the job is not cancelled yet, ask again"}
)

// errInternal answers for errors that name no rejection; none is known.
var errInternal = &rejection{statusUnavailable, "no answer"}

// badRequest rejects a submission that does not keep to the protocol.
func badRequest(err error) error { return &rejection{400, err.Error()} }

// reject answers with the rejection that err is or wraps.
func reject(err error) httpx.Response {
	reason := errInternal
	errors.As(err, &reason)
	r := httpx.JSON(reason.status, wire.Error{Error: reason.text})
	if reason.status == statusUnavailable {
		r.RetryAfter = retryAfterS
	}
	return r
}
