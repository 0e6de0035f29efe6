package loopback

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// maxPageKeys is the largest number of keys on a page.
const maxPageKeys = 1000

// kvStoreServer serves the key-value store's HTTP interface to one controller, from the in-memory store.
type kvStoreServer struct{ client *fakes.KVClient }

// handler returns the handler of the key-value store's paths.
func (s *kvStoreServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /keys", s.listKeys)
	mux.HandleFunc("GET /keys/{key...}", s.getKey)
	mux.HandleFunc("POST /multi", s.commit)
	mux.HandleFunc("POST /holds", s.grantLease)
	mux.HandleFunc("POST /holds/{id}/extend", s.keepAlive)
	mux.HandleFunc("GET /changes", s.watch)
	return mux
}

// listKeys answers with one page of the keys that have a prefix and come after a given key.
func (s *kvStoreServer) listKeys(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	items, revision, err := s.client.List(r.Context(), query.Get("prefix"))
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, nil)
		return
	}
	limit, _ := strconv.Atoi(query.Get("most"))
	if limit <= 0 || limit > maxPageKeys {
		limit = maxPageKeys
	}
	page := wire.ItemPage{Revision: revision}
	for _, item := range items {
		if item.Key <= query.Get("after") {
			continue
		}
		if len(page.Items) == limit {
			page.More = true
			break
		}
		page.Items = append(page.Items, item)
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *kvStoreServer) getKey(w http.ResponseWriter, r *http.Request) {
	item, found, err := s.client.Get(r.Context(), r.PathValue("key"))
	switch {
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, nil)
	case !found:
		writeJSON(w, http.StatusNotFound, wire.TxnResponse{})
	default:
		writeJSON(w, http.StatusOK, item)
	}
}

// commit executes a transaction. Its status is 400 for a malformed request or an unknown lease, 409 for a condition that
// does not hold, and 503 for any other refusal of the store.
func (s *kvStoreServer) commit(w http.ResponseWriter, r *http.Request) {
	var txn wire.Txn
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	revision, err := s.client.Commit(r.Context(), txn)
	switch {
	case errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, fakes.ErrNoSuchLease):
		writeJSON(w, http.StatusServiceUnavailable, nil)
	case errors.Is(err, kvstore.ErrConflict):
		writeJSON(w, http.StatusConflict, wire.TxnResponse{Revision: revision})
	case err != nil:
		writeJSON(w, http.StatusBadRequest, wire.Error{Error: "no such lease"})
	default:
		writeJSON(w, http.StatusOK, wire.TxnResponse{Revision: revision})
	}
}

func (s *kvStoreServer) grantLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	id, err := s.client.GrantLease(r.Context(), time.Duration(request.TTL)*time.Millisecond)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, nil)
		return
	}
	writeJSON(w, http.StatusOK, wire.LeaseResponse{LeaseID: id})
}

func (s *kvStoreServer) keepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err := s.client.KeepAlive(r.Context(), id, 0); err != nil {
		writeJSON(w, http.StatusNotFound, nil)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// watch answers with the changes after a revision. If there are none, it waits up to block_ms for a change.
func (s *kvStoreServer) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	blockMS, _ := strconv.Atoi(query.Get("block_ms"))
	changes, err := s.client.Watch(r.Context(), query.Get("prefix"), after, time.Duration(blockMS)*time.Millisecond)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, nil)
		return
	}
	writeJSON(w, http.StatusOK, changes)
}
