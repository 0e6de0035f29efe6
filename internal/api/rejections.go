package api

import (
	"errors"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/wire"
)

// statusUnavailable is the status of requests that may succeed when they are repeated.
const statusUnavailable = 503

// retryAfterS is the Retry-After header of 503 responses in seconds, the shortest time above 0 that the header can give.
const retryAfterS = 1

// rejection is an error that carries the HTTP status and the error text for the user. The texts are part of the
// interface for users, and the golden tests compare them.
type rejection struct {
	status int
	text   string
}

// Error returns the error text for the user.
func (r *rejection) Error() string { return r.text }

// Rejections of requests that fail again when they are repeated.
var (
	errMethodNotAllowed = &rejection{405, "method not allowed"}
	errUnknownPath      = &rejection{404, "no such path"}
	errUnknownJob       = &rejection{404, "no such job"}
	errRecordTooLarge   = &rejection{400, "the job takes more than a record can hold"}
	errUnknownTeam      = &rejection{422, "unknown team"}
	errOverTeamLimit    = &rejection{422, "a task needs more than the team's limit"}
	errFitsNoMachine    = &rejection{422, "a task fits no allowed machine type"}
)

// Rejections of requests that may succeed later.
var (
	errMachineTypesUnknown = &rejection{statusUnavailable, "the machine types are not known yet"}
	errNotStored           = &rejection{statusUnavailable, "the job can't be stored now"}
	errStateUnreadable     = &rejection{statusUnavailable, "the job's state can't be read now"}
	errFinalStatePending   = &rejection{statusUnavailable, "the job's end is being written"}
	errNotCancelledYet     = &rejection{statusUnavailable, "the job is not cancelled yet, ask again"}
)

// errInternal is the answer for an error that wraps no rejection. No code path is known to return one.
var errInternal = &rejection{statusUnavailable, "no answer"}

// badRequest returns the rejection of a submission that violates the protocol, with the text of err.
func badRequest(err error) error { return &rejection{400, err.Error()} }

// reject returns the response for the rejection that err is or wraps. 503 responses get a Retry-After header.
func reject(err error) httpx.Response {
	reason := errInternal
	errors.As(err, &reason)
	r := httpx.JSON(reason.status, wire.Error{Error: reason.text})
	if reason.status == statusUnavailable {
		r.RetryAfter = retryAfterS
	}
	return r
}
