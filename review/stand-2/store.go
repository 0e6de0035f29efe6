package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the key-value store, as in the settings that the cases write (cluster.go).
const (
	storeValueBytes = 8 << 10
	storeTxnOps     = 12
	keptChanges     = 10_000
)

// storeItem is a key of the store.
type storeItem struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
	Lease    uint64          `json:"hold,omitempty"`
}

// storeChange is an entry of the answer to GET /changes.
type storeChange struct {
	Put      string          `json:"put,omitempty"`
	Drop     string          `json:"drop,omitempty"`
	Value    json.RawMessage `json:"v,omitempty"`
	Revision uint64          `json:"stamp"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a small key-value store that follows PROTOCOL, "Controller nodes -> state service". It never answers 429: it allows more
// requests than the settings say.
type store struct {
	mu        sync.Mutex
	items     map[string]storeItem
	changes   []storeChange
	revision  uint64
	leases    map[uint64]*storeLease
	nextLease uint64
	changed   chan struct{}

	// refuse, unless nil, says whether a request of a node gets 503.
	refuse func(node int) bool
}

func newStore() *store {
	s := &store{items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease with its keys. mu is held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			delete(s.items, key)
			s.addChange(storeChange{Drop: key, Revision: s.revision})
		}
	}
	s.wake()
}

func (s *store) addChange(c storeChange) {
	s.changes = append(s.changes, c)
	if len(s.changes) > 2*keptChanges {
		s.changes = append([]storeChange{}, s.changes[len(s.changes)-keptChanges:]...)
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves the store to one node.
func (s *store) handler(node int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /keys", s.list)
	mux.HandleFunc("GET /keys/{key...}", s.get)
	mux.HandleFunc("POST /multi", s.multi)
	mux.HandleFunc("POST /holds", s.grant)
	mux.HandleFunc("POST /holds/{id}/extend", s.extend)
	mux.HandleFunc("DELETE /holds/{id}", s.end)
	mux.HandleFunc("GET /changes", s.watch)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refused := s.refuse != nil && s.refuse(node)
		s.mu.Unlock()
		if refused && r.URL.Path != "/changes" {
			reply(w, 503, map[string]string{"error": "outage"})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("most"))
	if most <= 0 || most > 1000 {
		most = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []storeItem{}, 0, false
	for _, k := range keys {
		if len(items) == most || size > 500<<10 {
			more = true
			break
		}
		items = append(items, s.items[k])
		size += len(s.items[k].Value) + len(k) + 40
	}
	reply(w, 200, map[string]any{"items": items, "truncated": more, "ledger_rev": s.revision})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.PathValue("key")]
	if !ok {
		reply(w, 404, map[string]any{"ledger_rev": s.revision})
		return
	}
	reply(w, 200, item)
}

func (s *store) multi(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		When []struct {
			Key      string `json:"k"`
			Revision uint64 `json:"stamp"`
		} `json:"when"`
		Then []struct {
			Put   string          `json:"put"`
			Drop  string          `json:"drop"`
			Value json.RawMessage `json:"v"`
			Lease uint64          `json:"hold"`
		} `json:"then"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil || len(txn.Then) > storeTxnOps || len(txn.When) > 4*storeTxnOps {
		reply(w, 400, map[string]string{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range txn.Then {
		if len(op.Value) > storeValueBytes {
			reply(w, 400, map[string]string{"error": "value too large"})
			return
		}
		if op.Put != "" && op.Lease != 0 && s.leases[op.Lease] == nil {
			reply(w, 400, map[string]string{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, c := range txn.When {
		if s.items[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, map[string]any{"failed": failed, "ledger_rev": s.revision})
		return
	}
	if len(txn.Then) > 0 {
		s.revision++
	}
	for _, op := range txn.Then {
		if op.Put != "" {
			s.items[op.Put] = storeItem{op.Put, op.Value, s.revision, op.Lease}
			s.addChange(storeChange{Put: op.Put, Value: op.Value, Revision: s.revision})
		} else if _, ok := s.items[op.Drop]; ok {
			delete(s.items, op.Drop)
			s.addChange(storeChange{Drop: op.Drop, Revision: s.revision})
		}
	}
	s.wake()
	reply(w, 200, map[string]any{"ledger_rev": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL < 100 || in.TTL > 600_000 {
		reply(w, 400, map[string]string{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.nextLease] = &storeLease{ttl, time.Now().Add(ttl)}
	reply(w, 200, map[string]uint64{"hold": s.nextLease})
}

func (s *store) extend(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || time.Now().After(l.expires) {
		reply(w, 404, map[string]string{"error": "no such lease"})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, 200, map[string]uint64{"hold": id})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, 200, struct{}{})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	block, _ := strconv.Atoi(q.Get("block_ms"))
	deadline := time.After(time.Duration(min(block, 60_000)) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		if len(s.changes) > keptChanges && s.changes[len(s.changes)-keptChanges].Revision > after {
			s.mu.Unlock()
			reply(w, 410, map[string]string{"error": "too old"})
			return
		}
		log := []storeChange{}
		for i := len(s.changes) - 1; i >= 0 && s.changes[i].Revision > after; i-- {
			if c := s.changes[i]; strings.HasPrefix(c.Put+c.Drop, q.Get("prefix")) {
				log = append(log, c)
			}
		}
		for i, k := 0, len(log)-1; i < k; i, k = i+1, k-1 {
			log[i], log[k] = log[k], log[i]
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(log) > 0 || done {
			reply(w, 200, map[string]any{"ledger_rev": revision, "log": log})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

// keysOf returns the keys with a prefix.
func (s *store) keysOf(prefix string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for k, item := range s.items {
		if strings.HasPrefix(k, prefix) {
			out[strings.TrimPrefix(k, prefix)] = string(item.Value)
		}
	}
	return out
}

// reply writes a JSON answer.
func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprint("encoding an answer: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b)
}
