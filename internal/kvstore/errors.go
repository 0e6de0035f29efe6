package kvstore

import "errors"

// Errors of a call, to be distinguished by errors.Is. Each call returns them with what was attempted.
var (
	// ErrRefused means that the request was surely not executed.
	ErrRefused = errors.New("key-value store refused the request")
	// ErrOutcomeUnknown means that the request may have been executed, or may yet be.
	ErrOutcomeUnknown = errors.New("key-value store gave no answer")
	// ErrConflict means that a condition did not hold: nothing was written.
	ErrConflict = errors.New("condition did not hold")
	// ErrLeaseNotFound means that the lease has expired.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrCompacted means that the store no longer keeps the watched revision: all keys are to be read anew.
	ErrCompacted = errors.New("revision compacted")
	// ErrBudgetExhausted means that this controller's part of the budget is spent. It comes with ErrRefused.
	ErrBudgetExhausted = errors.New("request budget spent")

	// errRateLimited means that all controllers together ask for more than the store allows. It comes with ErrRefused.
	errRateLimited = errors.New("too many requests")
)
