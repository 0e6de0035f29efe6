package kvstore

import "errors"

// Errors of calls, to be matched by errors.Is. The methods wrap them with what was attempted.
var (
	// ErrRefused means that the request was not executed and never will be.
	ErrRefused = errors.New("key-value store refused the request")
	// ErrOutcomeUnknown means that the request may have been executed, or may yet be.
	ErrOutcomeUnknown = errors.New("key-value store gave no answer")
	// ErrConflict means that a condition of the transaction did not hold: nothing was written.
	ErrConflict = errors.New("condition did not hold")
	// ErrLeaseNotFound means that the lease has expired.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrCompacted means that the store no longer keeps the changes after the watched revision, or that they are larger than a
	// response that the client accepts. All keys have to be read again.
	ErrCompacted = errors.New("revision compacted")
	// ErrBudgetExhausted means that this controller's part of the budget did not allow the request in time. It is wrapped
	// together with ErrRefused.
	ErrBudgetExhausted = errors.New("request budget spent")

	// errRateLimited means that all controllers together exceed the rate that the store allows. It is wrapped together with
	// ErrRefused.
	errRateLimited = errors.New("too many requests")
)
