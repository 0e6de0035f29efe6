// Package fakes provides in-memory fakes of the key-value store (KVStore, KVClient) and of workers (Worker), for
// tests and for the runs of package loopback. The fakes follow the documented protocols and do no I/O. The key-value
// store reads the time from package time, so that it follows the fake clock of a synctest bubble.
package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// ErrNoSuchLease means that a transaction attaches a key to a lease that does not exist or has ended.
var ErrNoSuchLease = errors.New("no such lease")

// conditionsPerOperation is the limit of a transaction's conditions, as a multiple of the limit of its operations.
const conditionsPerOperation = 4

// watchRetry is how often a watch looks for changes without a notification. Nothing notifies a watch when a lease
// expires, because leases are checked only when a request arrives.
const watchRetry = 100 * time.Millisecond

// lease is a lease that a controller was granted. The keys attached to it are deleted when it expires.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// KVStore is an in-memory key-value store. It is safe for concurrent use.
type KVStore struct {
	mu          sync.Mutex // guards all fields, and those of the store's KVClients
	keys        map[string]wire.Item
	changes     []wire.Change // every change since the store was created
	revision    uint64
	leases      map[uint64]*lease
	lastLeaseID uint64        // id of the latest lease
	changed     chan struct{} // closed and replaced with each transaction, and with each key that a lease removes

	maxOperations int // limit of a transaction's operations; 0: no limit
	maxValueBytes int // limit of a value's size; 0: no limit

	down          bool       // an outage: requests fail as with status 503, watches return no changes
	dropResponses bool       // transactions are executed, but their callers get no response
	capture       bool       // transactions are captured, not executed, and their callers get no response
	captured      []wire.Txn // transactions that Release executes
}

// NewKVStore returns an empty store.
func NewKVStore() *KVStore {
	return &KVStore{keys: map[string]wire.Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// KVClient is one controller's client of the store. It can be disconnected while the other clients still reach the
// store.
type KVClient struct {
	*KVStore
	disconnected bool // guarded by the store's mu
}

// SetDisconnected disconnects this client, so that its requests fail as with status 503 and its watches
// return no changes, or reconnects it.
func (c *KVClient) SetDisconnected(disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = disconnected
}

// SetLimits sets the largest number of a transaction's operations and the largest size of a value; 0 means no limit.
// The limit of a transaction's conditions is conditionsPerOperation times that of its operations.
func (s *KVStore) SetLimits(maxOperations, maxValueBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxOperations, s.maxValueBytes = maxOperations, maxValueBytes
}

// SetDropResponses makes the store execute transactions but drop the responses, so that Commit fails with
// kvstore.ErrOutcomeUnknown; false restores the responses.
func (s *KVStore) SetDropResponses(drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = drop
}

// SetCapture makes the store keep transactions without executing them until Release, so that Commit fails with
// kvstore.ErrOutcomeUnknown; false makes the store execute later transactions again.
func (s *KVStore) SetCapture(capture bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capture = capture
}

// expireLeases ends the leases whose time to live has passed. The caller holds mu, as it does for all unexported
// methods of KVStore.
func (s *KVStore) expireLeases() {
	for id, expiring := range s.leases {
		if time.Now().After(expiring.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes the keys attached to it.
func (s *KVStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.keys {
		if item.LeaseID == id {
			s.revision++
			s.deleteKey(key)
		}
	}
}

// deleteKey deletes a key if it exists, and records the change at the present revision.
func (s *KVStore) deleteKey(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.changes = append(s.changes, wire.Change{Drop: key, ModRevision: s.revision})
	}
	s.notifyWatchers()
}

// notifyWatchers wakes all watches, which then look for changes.
func (s *KVStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown starts or ends an outage. At the end of an outage every lease gets its full time to live again, because no
// controller could renew its lease meanwhile.
func (s *KVStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, renewed := range s.leases {
			renewed.expiresAt = time.Now().Add(renewed.ttl)
		}
	}
	s.down = down
}

// checkAvailable fails during an outage, or while this client is disconnected.
func (c *KVClient) checkAvailable() error {
	if c.disconnected || c.down {
		return fmt.Errorf("%w: status 503", kvstore.ErrRefused)
	}
	return nil
}

// Get returns the value of a key, and whether the key exists.
func (c *KVClient) Get(_ context.Context, key string) (wire.Item, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(); err != nil {
		return wire.Item{}, false, err
	}
	c.expireLeases()
	item, ok := c.keys[key]
	return item, ok, nil
}

// List returns all keys with a prefix in their order, and the store's revision.
func (c *KVClient) List(_ context.Context, prefix string) ([]wire.Item, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(); err != nil {
		return nil, 0, err
	}
	c.expireLeases()
	var out []wire.Item
	for key, item := range c.keys {
		if strings.HasPrefix(key, prefix) {
			out = append(out, item)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out, c.revision, nil
}

// Watch returns the changes after a revision to keys with a prefix. If there are none, it waits for the next change
// until timeout. During an outage, or while the client is disconnected, it keeps waiting and returns no changes.
func (c *KVClient) Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) (wire.WatchResponse, error) {
	deadline := time.Now().Add(timeout)
	for {
		c.mu.Lock()
		var out wire.WatchResponse
		if c.checkAvailable() == nil {
			c.expireLeases()
			out.Revision = c.revision
			for _, change := range c.changes {
				if change.ModRevision > after && strings.HasPrefix(change.Put+change.Drop, prefix) {
					out.Changes = append(out.Changes, change)
				}
			}
		}
		changed := c.changed
		c.mu.Unlock()
		if len(out.Changes) > 0 || !time.Now().Before(deadline) {
			out.Revision = max(out.Revision, after)
			return out, nil
		}
		select {
		case <-changed:
		case <-time.After(min(watchRetry, time.Until(deadline))):
		case <-ctx.Done():
			return wire.WatchResponse{}, ctx.Err()
		}
	}
}

// Commit executes a transaction and returns its revision.
func (c *KVClient) Commit(_ context.Context, txn wire.Txn) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(); err != nil {
		return 0, err
	}
	if c.capture {
		c.captured = append(c.captured, txn)
		return 0, kvstore.ErrOutcomeUnknown
	}
	revision, err := c.apply(txn)
	if c.dropResponses {
		return 0, kvstore.ErrOutcomeUnknown
	}
	return revision, err
}

// CommitWithCheck calls beforeSend and then Commit. If beforeSend fails, the transaction is not sent and the error
// wraps kvstore.ErrRefused.
func (c *KVClient) CommitWithCheck(ctx context.Context, txn wire.Txn, beforeSend func() error) (uint64, error) {
	if err := beforeSend(); err != nil {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrRefused, err)
	}
	return c.Commit(ctx, txn)
}

// Release executes the captured transactions in the order of their arrival, and returns how many were applied.
func (s *KVStore) Release() (applied int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.captured {
		if _, err := s.apply(txn); err == nil {
			applied++
		}
	}
	s.captured = nil
	return applied
}

// apply executes a transaction if checkTransaction accepts it. It returns the store's revision.
func (s *KVStore) apply(txn wire.Txn) (uint64, error) {
	s.expireLeases()
	if err := s.checkTransaction(txn); err != nil {
		return s.revision, err
	}
	s.revision++
	for _, op := range txn.Operations {
		if op.Drop != "" {
			s.deleteKey(op.Drop)
			continue
		}
		b, err := json.Marshal(op.Value)
		if err != nil {
			return s.revision, err
		}
		s.keys[op.Put] = wire.Item{Key: op.Put, Value: b, ModRevision: s.revision, LeaseID: op.LeaseID}
		s.changes = append(s.changes, wire.Change{Put: op.Put, Value: b, ModRevision: s.revision})
	}
	s.notifyWatchers()
	return s.revision, nil
}

// checkTransaction checks a transaction's conditions, then its leases, then its limits. The first check that fails
// determines the error.
func (s *KVStore) checkTransaction(txn wire.Txn) error {
	for _, condition := range txn.Conditions {
		if s.keys[condition.Key].ModRevision != condition.ModRevision {
			return fmt.Errorf("%w: %s", kvstore.ErrConflict, condition.Key)
		}
	}
	for _, op := range txn.Operations {
		if op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return fmt.Errorf("%w: %w", kvstore.ErrRefused, ErrNoSuchLease)
		}
	}
	if s.maxOperations > 0 && len(txn.Operations) > s.maxOperations {
		return fmt.Errorf("%w: transaction has too many operations", kvstore.ErrRefused)
	}
	if s.maxOperations > 0 && len(txn.Conditions) > conditionsPerOperation*s.maxOperations {
		return fmt.Errorf("%w: transaction has too many conditions", kvstore.ErrRefused)
	}
	for _, op := range txn.Operations {
		if b, err := json.Marshal(op.Value); s.maxValueBytes > 0 && (err != nil || len(b) > s.maxValueBytes) {
			return fmt.Errorf("%w: value of %d bytes is not accepted", kvstore.ErrRefused, len(b))
		}
	}
	return nil
}

// AnswerWithin makes a request in a goroutine and returns its error, or kvstore.ErrOutcomeUnknown if there is no answer within timeout.
// The request then goes on, as one does that is held up in the network.
func AnswerWithin(timeout time.Duration, request func() error) error {
	answer := make(chan error, 1)
	go func() { answer <- request() }()
	select {
	case err := <-answer:
		return err
	case <-time.After(timeout):
		return fmt.Errorf("%w: no answer in time", kvstore.ErrOutcomeUnknown)
	}
}

// HasSpareWrites always returns true, because the fake does not limit the rate of requests.
func (*KVClient) HasSpareWrites(int) bool { return true }

// GrantLease creates a lease with a time to live and returns its id.
func (c *KVClient) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(); err != nil {
		return 0, err
	}
	c.lastLeaseID++
	c.leases[c.lastLeaseID] = &lease{ttl, time.Now().Add(ttl)}
	return c.lastLeaseID, nil
}

// KeepAlive renews a lease for its full time to live.
func (c *KVClient) KeepAlive(_ context.Context, id uint64, _ time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(); err != nil {
		return err
	}
	c.expireLeases()
	renewed := c.leases[id]
	if renewed == nil {
		return kvstore.ErrLeaseNotFound
	}
	renewed.expiresAt = time.Now().Add(renewed.ttl)
	return nil
}
