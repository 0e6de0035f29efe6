// Package fakes holds in-memory stand-ins of the state service and of workers
// for the tests of the rules. They keep to the protocol's pages.
package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// KVStore is a state service in memory. Its holds run by the time of the test's bubble.
type KVStore struct {
	mu        sync.Mutex
	keys      map[string]wire.Item
	changes   []wire.Change
	revision  uint64
	leases    map[uint64]*lease
	nextLease uint64
	changed   chan struct{}

	maxOperations int // changes a transaction may have, bytes that a value may have; 0: any
	maxValueBytes int

	down     bool // answers 503 to all
	mute     bool // executes transactions and gives no answer
	capture  bool // keeps transactions back, gives no answer
	captured []wire.Txn
}

// NewKVStore makes an empty state service.
func NewKVStore() *KVStore {
	return &KVStore{keys: map[string]wire.Item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// KVClient is one controller's way to the state service; it can be cut off alone.
type KVClient struct {
	*KVStore
	cut bool
}

// SetCut lets this controller alone be refused, or served again.
func (v *KVClient) SetCut(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = cut
}

// SetLimits bounds the changes of a transaction, four times as many conditions, and the bytes of a value.
func (s *KVStore) SetLimits(ops, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxOperations, s.maxValueBytes = ops, bytes
}

// SetMute lets transactions be executed without an answer.
func (s *KVStore) SetMute(mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = mute
}

// SetCapture keeps transactions back, without an answer, until Release.
func (s *KVStore) SetCapture(capture bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capture = capture
}

func (s *KVStore) expireLeases() {
	for id, h := range s.leases {
		if time.Now().After(h.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *KVStore) endLease(id uint64) {
	delete(s.leases, id)
	for k, it := range s.keys {
		if it.LeaseID == id {
			s.revision++
			s.deleteKey(k)
		}
	}
}

func (s *KVStore) deleteKey(k string) {
	if _, ok := s.keys[k]; ok {
		delete(s.keys, k)
		s.changes = append(s.changes, wire.Change{Drop: k, ModRevision: s.revision})
	}
	s.notifyWatchers()
}

func (s *KVStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown starts or ends an outage. Once it is over every hold has its full time again.
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

func (v *KVClient) checkAvailable() error {
	if v.cut || v.down {
		return fmt.Errorf("%w: status 503", kvstore.ErrRefused)
	}
	return nil
}

// Get reads a key.
func (v *KVClient) Get(_ context.Context, key string) (wire.Item, bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.checkAvailable(); err != nil {
		return wire.Item{}, false, err
	}
	v.expireLeases()
	it, ok := v.keys[key]
	return it, ok, nil
}

// List reads all keys with a prefix.
func (v *KVClient) List(_ context.Context, prefix string) ([]wire.Item, uint64, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.checkAvailable(); err != nil {
		return nil, 0, err
	}
	v.expireLeases()
	var out []wire.Item
	for k, it := range v.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out, v.revision, nil
}

// Watch waits for changes. During an outage it stays open.
func (v *KVClient) Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error) {
	deadline := time.Now().Add(block)
	for {
		v.mu.Lock()
		var out wire.WatchResponse
		if v.checkAvailable() == nil {
			v.expireLeases()
			out.Revision = v.revision
			for _, c := range v.changes {
				if c.ModRevision > rev && strings.HasPrefix(c.Put+c.Drop, prefix) {
					out.Changes = append(out.Changes, c)
				}
			}
		}
		changed := v.changed
		v.mu.Unlock()
		if len(out.Changes) > 0 || !time.Now().Before(deadline) {
			out.Revision = max(out.Revision, rev)
			return out, nil
		}
		select {
		case <-changed:
		case <-time.After(min(100*time.Millisecond, time.Until(deadline))):
		case <-ctx.Done():
			return wire.WatchResponse{}, ctx.Err()
		}
	}
}

// Commit carries out a transaction.
func (v *KVClient) Commit(_ context.Context, m wire.Txn) (uint64, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.checkAvailable(); err != nil {
		return 0, err
	}
	if v.capture {
		v.captured = append(v.captured, m)
		return 0, kvstore.ErrOutcomeUnknown
	}
	rev, err := v.apply(m)
	if v.mute {
		return 0, kvstore.ErrOutcomeUnknown
	}
	return rev, err
}

// CommitAt is Commit, with a word right before.
func (v *KVClient) CommitWithCheck(ctx context.Context, m wire.Txn, sending func() error) (uint64, error) {
	if err := sending(); err != nil {
		return 0, fmt.Errorf("%w: %w", kvstore.ErrRefused, err)
	}
	return v.Commit(ctx, m)
}

// Release carries out the transactions that were kept back, and tells how many held.
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

func (s *KVStore) apply(m wire.Txn) (uint64, error) {
	s.expireLeases()
	for _, c := range m.Conditions {
		if s.keys[c.Key].ModRevision != c.ModRevision {
			return s.revision, fmt.Errorf("%w: %s", kvstore.ErrConflict, c.Key)
		}
	}
	for _, op := range m.Operations {
		if op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return s.revision, fmt.Errorf("%w: no such lease", kvstore.ErrRefused)
		}
	}
	if s.maxOperations > 0 && len(m.Operations) > s.maxOperations {
		return s.revision, fmt.Errorf("%w: too many changes", kvstore.ErrRefused)
	}
	if s.maxOperations > 0 && len(m.Conditions) > 4*s.maxOperations {
		return s.revision, fmt.Errorf("%w: too many conditions", kvstore.ErrRefused)
	}
	for _, op := range m.Operations {
		if b, err := json.Marshal(op.Value); s.maxValueBytes > 0 && (err != nil || len(b) > s.maxValueBytes) {
			return s.revision, fmt.Errorf("%w: a value of %d bytes", kvstore.ErrRefused, len(b))
		}
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

// Spare always has room.
func (v *KVClient) HasSpareWrites(int) bool { return true }

// Grant makes a hold.
func (v *KVClient) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.checkAvailable(); err != nil {
		return 0, err
	}
	v.nextLease++
	v.leases[v.nextLease] = &lease{ttl, time.Now().Add(ttl)}
	return v.nextLease, nil
}

// Extend renews a hold.
func (v *KVClient) KeepAlive(_ context.Context, id uint64, _ time.Duration) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.checkAvailable(); err != nil {
		return err
	}
	v.expireLeases()
	h := v.leases[id]
	if h == nil {
		return kvstore.ErrLeaseNotFound
	}
	h.expiresAt = time.Now().Add(h.ttl)
	return nil
}
