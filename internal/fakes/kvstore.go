// Package fakes holds in-memory fakes of the key-value store (KVStore, KVClient) and of workers (Worker), for
// tests and for the runs of package loopback. They keep to the protocol's pages. They do no I/O; the key-value
// store takes its time from package time, so that it runs by the clock of a synctest bubble.
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

// ErrNoSuchLease means that a transaction puts a key with a lease that has ended.
var ErrNoSuchLease = errors.New("no such lease")

// conditionsPerOperation is how many conditions a transaction may have for each operation that it may have.
const conditionsPerOperation = 4

// watchRetry is how often a watch looks for changes without being notified: leases expire without a request.
const watchRetry = 100 * time.Millisecond

// lease is a controller lease: keys put with it are deleted when it expires.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// KVStore is a key-value store in memory. It is safe for concurrent use.
type KVStore struct {
	mu        sync.Mutex // guards all fields, and those of the store's KVClients
	keys      map[string]wire.Item
	changes   []wire.Change // all since the start
	revision  uint64
	leases    map[uint64]*lease
	nextLease uint64        // the latest lease's id
	changed   chan struct{} // closed and replaced with each change

	maxOperations int // operations of a transaction; 0: any
	maxValueBytes int // bytes of a value; 0: any

	down     bool       // an outage: all requests are answered 503
	mute     bool       // executes transactions without an answer
	capture  bool       // captures transactions without an answer
	captured []wire.Txn // not executed until Release
}

// NewKVStore makes an empty store.
func NewKVStore() *KVStore {
	return &KVStore{keys: map[string]wire.Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// KVClient is one controller's client of the store; it can be cut off alone.
type KVClient struct {
	*KVStore
	cut bool // guarded by the store's mu
}

// SetCut has the store answer 503 to this controller alone, or ends that.
func (c *KVClient) SetCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// SetLimits limits the operations of a transaction, its conditions (conditionsPerOperation) and the bytes of a value.
func (s *KVStore) SetLimits(ops, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxOperations, s.maxValueBytes = ops, bytes
}

// SetMute has transactions executed without an answer, or ends that.
func (s *KVStore) SetMute(mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = mute
}

// SetCapture has transactions captured without an answer until Release, or ends that.
func (s *KVStore) SetCapture(capture bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capture = capture
}

// expireLeases ends the leases whose time is over. The lock is held, as for all unexported methods.
func (s *KVStore) expireLeases() {
	for id, h := range s.leases {
		if time.Now().After(h.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys.
func (s *KVStore) endLease(id uint64) {
	delete(s.leases, id)
	for k, it := range s.keys {
		if it.LeaseID == id {
			s.revision++
			s.deleteKey(k)
		}
	}
}

// deleteKey deletes a key at the present revision.
func (s *KVStore) deleteKey(k string) {
	if _, ok := s.keys[k]; ok {
		delete(s.keys, k)
		s.changes = append(s.changes, wire.Change{Drop: k, ModRevision: s.revision})
	}
	s.notifyWatchers()
}

// notifyWatchers wakes all watches.
func (s *KVStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown starts or ends an outage. Once it is over every lease has its full time again.
func (s *KVStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, h := range s.leases {
			h.expiresAt = time.Now().Add(h.ttl)
		}
	}
	s.down = down
}

// checkAvailable rejects a request during an outage or while this controller is cut off.
func (c *KVClient) checkAvailable() error {
	if c.cut || c.down {
		return fmt.Errorf("%w: status 503", kvstore.ErrRefused)
	}
	return nil
}

// Get reads a key.
func (c *KVClient) Get(_ context.Context, key string) (wire.Item, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(); err != nil {
		return wire.Item{}, false, err
	}
	c.expireLeases()
	it, ok := c.keys[key]
	return it, ok, nil
}

// List reads all keys with a prefix.
func (c *KVClient) List(_ context.Context, prefix string) ([]wire.Item, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(); err != nil {
		return nil, 0, err
	}
	c.expireLeases()
	var out []wire.Item
	for k, it := range c.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out, c.revision, nil
}

// Watch waits for changes. During an outage it stays open.
func (c *KVClient) Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error) {
	deadline := time.Now().Add(block)
	for {
		c.mu.Lock()
		var out wire.WatchResponse
		if c.checkAvailable() == nil {
			c.expireLeases()
			out.Revision = c.revision
			for _, change := range c.changes {
				if change.ModRevision > rev && strings.HasPrefix(change.Put+change.Drop, prefix) {
					out.Changes = append(out.Changes, change)
				}
			}
		}
		changed := c.changed
		c.mu.Unlock()
		if len(out.Changes) > 0 || !time.Now().Before(deadline) {
			out.Revision = max(out.Revision, rev)
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

// Commit executes a transaction.
func (c *KVClient) Commit(_ context.Context, m wire.Txn) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(); err != nil {
		return 0, err
	}
	if c.capture {
		c.captured = append(c.captured, m)
		return 0, kvstore.ErrOutcomeUnknown
	}
	rev, err := c.apply(m)
	if c.mute {
		return 0, kvstore.ErrOutcomeUnknown
	}
	return rev, err
}

// CommitWithCheck calls sending right before Commit; an error of it means that nothing was sent.
func (c *KVClient) CommitWithCheck(ctx context.Context, m wire.Txn, sending func() error) (uint64, error) {
	if err := sending(); err != nil {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrRefused, err)
	}
	return c.Commit(ctx, m)
}

// Release executes the captured transactions, and returns how many were applied.
func (s *KVStore) Release() (applied int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.captured {
		if _, err := s.apply(m); err == nil {
			applied++
		}
	}
	s.captured = nil
	return applied
}

// apply executes a transaction whose conditions hold, and returns the revision.
func (s *KVStore) apply(m wire.Txn) (uint64, error) {
	s.expireLeases()
	if err := s.checkTransaction(m); err != nil {
		return s.revision, err
	}
	s.revision++
	for _, op := range m.Operations {
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

// checkTransaction checks a transaction's conditions, leases and limits, in this order.
func (s *KVStore) checkTransaction(m wire.Txn) error {
	for _, condition := range m.Conditions {
		if s.keys[condition.Key].ModRevision != condition.ModRevision {
			return fmt.Errorf("%w: %s", kvstore.ErrConflict, condition.Key)
		}
	}
	for _, op := range m.Operations {
		if op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return fmt.Errorf("%w: %w", kvstore.ErrRefused, ErrNoSuchLease)
		}
	}
	if s.maxOperations > 0 && len(m.Operations) > s.maxOperations {
		return fmt.Errorf("%w: too many changes", kvstore.ErrRefused)
	}
	if s.maxOperations > 0 && len(m.Conditions) > conditionsPerOperation*s.maxOperations {
		return fmt.Errorf("%w: too many conditions", kvstore.ErrRefused)
	}
	for _, op := range m.Operations {
		if b, err := json.Marshal(op.Value); s.maxValueBytes > 0 && (err != nil || len(b) > s.maxValueBytes) {
			return fmt.Errorf("%w: a value of %d bytes", kvstore.ErrRefused, len(b))
		}
	}
	return nil
}

// HasSpareWrites is always true: the fake has no limit of requests.
func (*KVClient) HasSpareWrites(int) bool { return true }

// GrantLease makes a lease and returns its id.
func (c *KVClient) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(); err != nil {
		return 0, err
	}
	c.nextLease++
	c.leases[c.nextLease] = &lease{ttl, time.Now().Add(ttl)}
	return c.nextLease, nil
}

// KeepAlive renews a lease.
func (c *KVClient) KeepAlive(_ context.Context, id uint64, _ time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkAvailable(); err != nil {
		return err
	}
	c.expireLeases()
	h := c.leases[id]
	if h == nil {
		return kvstore.ErrLeaseNotFound
	}
	h.expiresAt = time.Now().Add(h.ttl)
	return nil
}
