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

type hold struct {
	ttl   time.Duration
	until time.Time
}

// KVStore is a state service in memory. Its holds run by the time of the test's bubble.
type KVStore struct {
	mu      sync.Mutex
	keys    map[string]wire.Item
	log     []wire.Change
	rev     uint64
	holds   map[uint64]*hold
	next    uint64
	changed chan struct{}

	mostOps   int // changes a transaction may have, bytes that a value may have; 0: any
	mostBytes int

	down    bool // answers 503 to all
	mute    bool // executes transactions and gives no answer
	capture bool // keeps transactions back, gives no answer
	late    []wire.Txn
}

// NewKVStore makes an empty state service.
func NewKVStore() *KVStore {
	return &KVStore{keys: map[string]wire.Item{}, holds: map[uint64]*hold{}, changed: make(chan struct{})}
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
	s.mostOps, s.mostBytes = ops, bytes
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

func (s *KVStore) expire() {
	for id, h := range s.holds {
		if time.Now().After(h.until) {
			s.end(id)
		}
	}
}

func (s *KVStore) end(id uint64) {
	delete(s.holds, id)
	for k, it := range s.keys {
		if it.LeaseID == id {
			s.rev++
			s.drop(k)
		}
	}
}

func (s *KVStore) drop(k string) {
	if _, ok := s.keys[k]; ok {
		delete(s.keys, k)
		s.log = append(s.log, wire.Change{Drop: k, ModRevision: s.rev})
	}
	s.tell()
}

func (s *KVStore) tell() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown starts or ends an outage. Once it is over every hold has its full time again.
func (s *KVStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, h := range s.holds {
			h.until = time.Now().Add(h.ttl)
		}
	}
	s.down = down
}

func (v *KVClient) refused() error {
	if v.cut || v.down {
		return fmt.Errorf("%w: status 503", kvstore.ErrRefused)
	}
	return nil
}

// Get reads a key.
func (v *KVClient) Get(_ context.Context, key string) (wire.Item, bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.refused(); err != nil {
		return wire.Item{}, false, err
	}
	v.expire()
	it, ok := v.keys[key]
	return it, ok, nil
}

// List reads all keys with a prefix.
func (v *KVClient) List(_ context.Context, prefix string) ([]wire.Item, uint64, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.refused(); err != nil {
		return nil, 0, err
	}
	v.expire()
	var out []wire.Item
	for k, it := range v.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out, v.rev, nil
}

// Watch waits for changes. During an outage it stays open.
func (v *KVClient) Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error) {
	deadline := time.Now().Add(block)
	for {
		v.mu.Lock()
		var out wire.WatchResponse
		if v.refused() == nil {
			v.expire()
			out.Revision = v.rev
			for _, c := range v.log {
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
	if err := v.refused(); err != nil {
		return 0, err
	}
	if v.capture {
		v.late = append(v.late, m)
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
	for _, m := range s.late {
		if _, err := s.apply(m); err == nil {
			applied++
		}
	}
	s.late = nil
	return applied
}

func (s *KVStore) apply(m wire.Txn) (uint64, error) {
	s.expire()
	for _, c := range m.Conditions {
		if s.keys[c.Key].ModRevision != c.ModRevision {
			return s.rev, fmt.Errorf("%w: %s", kvstore.ErrConflict, c.Key)
		}
	}
	for _, op := range m.Operations {
		if op.LeaseID != 0 && s.holds[op.LeaseID] == nil {
			return s.rev, fmt.Errorf("%w: no such lease", kvstore.ErrRefused)
		}
	}
	if s.mostOps > 0 && len(m.Operations) > s.mostOps {
		return s.rev, fmt.Errorf("%w: too many changes", kvstore.ErrRefused)
	}
	if s.mostOps > 0 && len(m.Conditions) > 4*s.mostOps {
		return s.rev, fmt.Errorf("%w: too many conditions", kvstore.ErrRefused)
	}
	for _, op := range m.Operations {
		if b, err := json.Marshal(op.Value); s.mostBytes > 0 && (err != nil || len(b) > s.mostBytes) {
			return s.rev, fmt.Errorf("%w: a value of %d bytes", kvstore.ErrRefused, len(b))
		}
	}
	s.rev++
	for _, op := range m.Operations {
		if op.Drop != "" {
			s.drop(op.Drop)
			continue
		}
		b, err := json.Marshal(op.Value)
		if err != nil {
			return s.rev, err
		}
		s.keys[op.Put] = wire.Item{Key: op.Put, Value: b, ModRevision: s.rev, LeaseID: op.LeaseID}
		s.log = append(s.log, wire.Change{Put: op.Put, Value: b, ModRevision: s.rev})
	}
	s.tell()
	return s.rev, nil
}

// Spare always has room.
func (v *KVClient) HasSpareWrites(int) bool { return true }

// Grant makes a hold.
func (v *KVClient) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.refused(); err != nil {
		return 0, err
	}
	v.next++
	v.holds[v.next] = &hold{ttl, time.Now().Add(ttl)}
	return v.next, nil
}

// Extend renews a hold.
func (v *KVClient) KeepAlive(_ context.Context, id uint64, _ time.Duration) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.refused(); err != nil {
		return err
	}
	v.expire()
	h := v.holds[id]
	if h == nil {
		return kvstore.ErrLeaseNotFound
	}
	h.until = time.Now().Add(h.ttl)
	return nil
}
