// Package api serves the HTTP interface for users: it accepts jobs, answers queries about their states and
// cancels them.
//
// Handler routes the requests below /api/jobs. Any controller can accept a job. It writes the job's record in a
// transaction that fails if the job exists, and accepts it only once the record is durable (submission.go). The
// state of a final job comes from the cache or the key-value store. That of any other job comes from the team's
// scheduler or, if the scheduler gives none, from the key-value store (queries.go). The scheduler also carries out
// cancellations (cancellation.go). A job that a user was told is final never appears active again (docs/design.md,
// "Why the rules hold", numbers 10, 11 and 14).
//
// The package does I/O only through Store, Schedulers and Peers.
package api

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Store reads keys of the key-value store and commits transactions to it.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, bool, error)
	Commit(ctx context.Context, m wire.Txn) (uint64, error)
}

// Schedulers forwards requests about a job to the controller that leads the job's team.
type Schedulers interface {
	Status(ctx context.Context, q peer.JobRequest) (peer.JobResponse, error)
	Cancel(ctx context.Context, q peer.JobRequest) (peer.JobResponse, error)
}

// Peers forwards submissions to other controllers when this one can't reach the key-value store.
type Peers interface {
	// StoreUnreachable reports whether this controller has no contact with the key-value store now.
	StoreUnreachable() bool
	// Submit forwards a submission to a controller that can reach the store; ok is false if none is known or it
	// does not answer.
	Submit(body []byte) (r httpx.Response, ok bool)
}

// Handler serves users' requests. Its methods may be called concurrently.
type Handler struct {
	store          Store
	schedulers     Schedulers
	peers          Peers
	jobs           *jobs.Cache
	limits         map[string]resources.Amounts
	startWithin    map[string]clock.Micros
	maxRecordBytes int
	wallClock      func() time.Time
	log            *slog.Logger

	mu           sync.Mutex         // guards the fields below
	machineTypes []wire.MachineType // empty until the catalog is known
	storeRetryAt time.Time          // end of the backoff after the key-value store refused a submission
}

// Options has the dependencies and settings of a Handler.
type Options struct {
	Store          Store
	Schedulers     Schedulers
	Peers          Peers
	Jobs           *jobs.Cache
	Limits         map[string]resources.Amounts // each team's limit; an amount of 0 means no limit
	StartWithin    map[string]clock.Micros      // time within which tasks should start, for the job classes that have one
	MaxRecordBytes int                          // maximum size in bytes of a value in the key-value store
	WallClock      func() time.Time
	Log            *slog.Logger
}

// New returns a Handler. It accepts no jobs until SetMachineTypes is called, since it could not check whether their tasks
// fit any machine.
func New(o Options) *Handler {
	return &Handler{
		store:          o.Store,
		schedulers:     o.Schedulers,
		peers:          o.Peers,
		jobs:           o.Jobs,
		limits:         o.Limits,
		startWithin:    o.StartWithin,
		maxRecordBytes: o.MaxRecordBytes,
		wallClock:      o.WallClock,
		log:            o.Log,
	}
}

// SetMachineTypes sets the machine types of the catalog.
func (h *Handler) SetMachineTypes(types []wire.MachineType) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.machineTypes = types
}

// KnowsMachineTypes reports whether the last call of SetMachineTypes had any machine type.
func (h *Handler) KnowsMachineTypes() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.machineTypes) > 0
}

// Handle serves a request below /api/jobs. rest is the path after /api/jobs: "" submits a job, "/ID" queries a
// job's state and "/ID/withdraw" cancels a job.
func (h *Handler) Handle(ctx context.Context, r *httpx.Request, rest string) httpx.Response {
	if rest == "" {
		if r.Method != "POST" {
			return reject(errMethodNotAllowed)
		}
		return h.submit(ctx, r.Body)
	}
	id, action, hasAction := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
	isCancellation := hasAction && action == "withdraw"
	var answer func(context.Context, string) httpx.Response
	switch {
	case hasAction && !isCancellation:
		return reject(errUnknownPath)
	case isCancellation && r.Method == "POST":
		answer = h.cancelJob
	case !hasAction && r.Method == "GET":
		answer = h.jobState
	default:
		return reject(errMethodNotAllowed)
	}
	if !wire.ValidJobID(id) {
		return reject(errUnknownJob)
	}
	return answer(ctx, id)
}
