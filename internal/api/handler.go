// Package api answers users: it accepts jobs, tells their states and takes cancellations.
//
// Handler routes the requests below /api/jobs. Any controller accepts a job, by a create-if-absent
// transaction: a job is accepted only once its record is durable (submission.go). The state of a job that
// is final is answered from the cache or the key-value store; everything else is asked of the team's
// scheduler (queries.go), which also carries a cancellation out (cancellation.go). Why an answer is never
// older than one given before is argued in docs/design.md, "Why the rules hold", numbers 10, 11 and 14.
//
// The package decides on statuses and bodies; Store, Schedulers and Peers are its I/O.
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

// Store is the part of the key-value store's client that the handler needs.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, bool, error)
	Commit(ctx context.Context, m wire.Txn) (uint64, error)
}

// Schedulers passes a request about a job to the controller that leads the job's team.
type Schedulers interface {
	Status(ctx context.Context, q peer.JobRequest) (peer.JobResponse, error)
	Cancel(ctx context.Context, q peer.JobRequest) (peer.JobResponse, error)
}

// Peers are the other controllers, for submissions that this one can't store.
type Peers interface {
	// StoreUnreachable reports that this controller has no contact with the key-value store now.
	StoreUnreachable() bool
	// Submit forwards a submission to a controller with contact; ok is false when none is known.
	Submit(body []byte) (r httpx.Response, ok bool)
}

// Handler answers users' requests. Its methods may be called concurrently.
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

	mu           sync.Mutex         // guards what follows
	machineTypes []wire.MachineType // none until the catalog is known
	storeRetryAt time.Time          // until then the key-value store is taken to refuse submissions
}

// Options of a handler.
type Options struct {
	Store          Store
	Schedulers     Schedulers
	Peers          Peers
	Jobs           *jobs.Cache
	Limits         map[string]resources.Amounts // by team, an amount of 0 meaning none
	StartWithin    map[string]clock.Micros      // job classes whose tasks should start within a time
	MaxRecordBytes int                          // largest value that the key-value store takes
	WallClock      func() time.Time
	Log            *slog.Logger
}

// New makes a handler, which accepts no job before it knows the machine types.
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

// SetTypes sets the machine types of the catalog.
func (h *Handler) SetTypes(types []wire.MachineType) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.machineTypes = types
}

// KnowsMachineTypes reports whether the machine types are known.
func (h *Handler) KnowsMachineTypes() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.machineTypes) > 0
}

// Handle answers a request below /api/jobs; rest is the path after that: "" for a submission, "/ID"
// for a job's state, "/ID/withdraw" for its cancellation.
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
