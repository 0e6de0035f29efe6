package kit

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

// Store is a stand-in for the state service (PROTOCOL, "Controller nodes -> state service"). Each controller has an
// address of its own, so that the stand-in can tell the controllers apart.
type Store struct {
	mu       sync.Mutex
	keys     map[string]*storeItem
	log      []storeChange
	rev      uint64
	leases   map[uint64]*storeLease
	nextHold uint64
	changed  chan struct{}

	txnOps   int
	valueKB  float64
	requests bucket
	writes   bucket

	// OnExtend, if set, is called after the answer to a renewal has been decided.
	OnExtend func(controller string)
	// Refusals counts the transactions that got 400.
	Refusals int
}

type storeItem struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"v"`
	Stamp uint64          `json:"stamp"`
	Hold  uint64          `json:"hold,omitempty"`
}

type storeChange struct {
	Put   string          `json:"put,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Value json.RawMessage `json:"v,omitempty"`
	Stamp uint64          `json:"stamp"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// Txn is a transaction as sent to /multi.
type Txn struct {
	When []struct {
		Key   string `json:"k"`
		Stamp uint64 `json:"stamp"`
	} `json:"when"`
	Then []struct {
		Put   string          `json:"put"`
		Value json.RawMessage `json:"v"`
		Hold  uint64          `json:"hold"`
		Drop  string          `json:"drop"`
	} `json:"then"`
}

// bucket limits a rate, with bursts of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

const (
	keptChanges  = 10_000
	storeLatency = 4 * time.Millisecond
)

// NewStore returns an empty store with these limits.
func NewStore(rps, writeRPS, valueKB float64, txnOps int) *Store {
	s := &Store{keys: map[string]*storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}),
		txnOps: txnOps, valueKB: valueKB,
		requests: bucket{rate: rps}, writes: bucket{rate: writeRPS}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// SetLimits lowers or raises the limits.
func (s *Store) SetLimits(writeRPS, valueKB float64, txnOps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = bucket{rate: writeRPS}
	s.valueKB, s.txnOps = valueKB, txnOps
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			delete(s.leases, id)
			for k, it := range s.keys {
				if it.Hold == id {
					s.rev++
					s.drop(k)
				}
			}
		}
	}
}

func (s *Store) drop(key string) {
	if s.keys[key] == nil {
		return
	}
	delete(s.keys, key)
	s.append(storeChange{Drop: key, Stamp: s.rev})
}

func (s *Store) append(c storeChange) {
	s.log = append(s.log, c)
	if len(s.log) > 2*keptChanges {
		s.log = append([]storeChange(nil), s.log[len(s.log)-keptChanges:]...)
	}
	s.notify()
}

// Serve starts the store's address for one controller and returns it.
func (s *Store) Serve(controller string) string {
	return Listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		s.handle(controller, w, r)
	}))
}

func (s *Store) handle(controller string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	limited := !s.requests.take(1)
	s.mu.Unlock()
	switch {
	case limited:
		Answer(w, 429, map[string]string{"error": "too many requests"})
	case r.URL.Path == "/multi":
		s.multi(w, r)
	case r.URL.Path == "/keys":
		s.list(w, r)
	case r.URL.Path == "/changes":
		s.changes(w, r)
	case strings.HasPrefix(r.URL.Path, "/keys/"):
		s.get(w, strings.TrimPrefix(r.URL.Path, "/keys/"))
	case strings.HasPrefix(r.URL.Path, "/holds"):
		s.holds(controller, w, r)
	default:
		Answer(w, 400, nil)
	}
}

func (s *Store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if it := s.keys[key]; it != nil {
		Answer(w, 200, it)
		return
	}
	Answer(w, 404, map[string]uint64{"ledger_rev": s.rev})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("most"))
	if most <= 0 || most > 1000 {
		most = 1000
	}
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	items, size, truncated := []*storeItem{}, 0, false
	for _, k := range names {
		size += len(k) + len(s.keys[k].Value) + 60
		if len(items) == most || size > 512<<10 {
			truncated = true
			break
		}
		items = append(items, s.keys[k])
	}
	Answer(w, 200, map[string]any{"items": items, "truncated": truncated, "ledger_rev": s.rev})
}

func (s *Store) changes(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	block, _ := strconv.Atoi(q.Get("block_ms"))
	deadline := time.Now().Add(time.Duration(min(block, 60_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if len(s.log) > 0 && s.log[0].Stamp > after+1 && s.log[0].Stamp > 1 && len(s.log) >= keptChanges {
			s.mu.Unlock()
			Answer(w, 410, nil)
			return
		}
		out := []storeChange{}
		i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > after })
		for _, c := range s.log[i:] {
			if strings.HasPrefix(c.Put+c.Drop, q.Get("prefix")) {
				out = append(out, c)
			}
		}
		if rev := s.rev; len(out) > 0 || !time.Now().Before(deadline) {
			s.mu.Unlock()
			Answer(w, 200, map[string]any{"ledger_rev": max(rev, after), "log": out})
			return
		}
		wait := s.changed
		s.mu.Unlock()
		select {
		case <-wait:
		case <-time.After(min(time.Second, max(time.Millisecond, time.Until(deadline)))):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) holds(controller string, w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch {
	case len(parts) == 1 && r.Method == http.MethodPost:
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL < 100 || in.TTL > 600_000 {
			Answer(w, 400, nil)
			return
		}
		s.nextHold++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[s.nextHold] = &storeLease{ttl, time.Now().Add(ttl)}
		Answer(w, 200, map[string]uint64{"hold": s.nextHold})
	case len(parts) == 3 && parts[2] == "extend":
		id, _ := strconv.ParseUint(parts[1], 10, 64)
		l := s.leases[id]
		if l == nil {
			Answer(w, 404, nil)
			return
		}
		l.end = time.Now().Add(l.ttl)
		Answer(w, 200, struct{}{})
		if s.OnExtend != nil {
			go s.OnExtend(controller)
		}
	case len(parts) == 2 && r.Method == http.MethodDelete:
		id, _ := strconv.ParseUint(parts[1], 10, 64)
		if l := s.leases[id]; l != nil {
			l.end = time.Now().Add(-time.Second)
			s.expire()
		}
		Answer(w, 200, struct{}{})
	default:
		Answer(w, 400, nil)
	}
}

func (s *Store) multi(w http.ResponseWriter, r *http.Request) {
	var txn Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		Answer(w, 400, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, body := s.apply(&txn)
	Answer(w, status, body)
}

func (s *Store) apply(txn *Txn) (int, any) {
	s.expire()
	if !s.writes.take(float64(len(txn.Then))) {
		return 429, map[string]string{"error": "too many changes"}
	}
	total := 0
	for _, op := range txn.Then {
		total += len(op.Value)
		if op.Hold != 0 && s.leases[op.Hold] == nil {
			return 400, map[string]string{"error": "no such lease"}
		}
		if float64(len(op.Value)) > s.valueKB*1024 {
			s.Refusals++
			return 400, map[string]string{"error": "value too large"}
		}
	}
	if len(txn.Then) > s.txnOps || len(txn.When) > 4*s.txnOps || total > 64<<10 {
		s.Refusals++
		return 400, map[string]string{"error": fmt.Sprintf("transaction too large: %d changes", len(txn.Then))}
	}
	var failed []string
	for _, c := range txn.When {
		stamp := uint64(0)
		if it := s.keys[c.Key]; it != nil {
			stamp = it.Stamp
		}
		if stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "ledger_rev": s.rev}
	}
	if len(txn.Then) > 0 {
		s.rev++
	}
	for _, op := range txn.Then {
		if op.Drop != "" {
			s.drop(op.Drop)
			continue
		}
		s.keys[op.Put] = &storeItem{op.Put, op.Value, s.rev, op.Hold}
		s.append(storeChange{Put: op.Put, Value: op.Value, Stamp: s.rev})
	}
	return 200, map[string]uint64{"ledger_rev": s.rev}
}
