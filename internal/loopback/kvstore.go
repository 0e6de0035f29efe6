// Package loopback plays bounded runs of the real program on this machine: controllers are
// processes of their own, and the state service, the cloud, the workers and the users are
// stand-ins on loopback addresses. It is for measurements, and no part of the service.
package loopback

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// writeJSON writes a value as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b) //nolint:errcheck // whoever asked may be gone
}

// serve answers on a free port of the loopback address until the program ends.
func serve(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, h) //nolint:errcheck // until the program ends
	return l.Addr().String(), nil
}

// maxPageKeys is how many keys a page has at most.
const maxPageKeys = 1000

// stateService answers one controller as the state service, over a store in memory.
func stateService(view *fakes.KVClient) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /keys", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		items, rev, err := view.List(r.Context(), q.Get("prefix"))
		if err != nil {
			writeJSON(w, 503, nil)
			return
		}
		most, _ := strconv.Atoi(q.Get("most"))
		if most <= 0 || most > maxPageKeys {
			most = maxPageKeys
		}
		out := wire.ItemPage{Revision: rev}
		for _, it := range items {
			if it.Key <= q.Get("after") {
				continue
			}
			if len(out.Items) == most {
				out.More = true
				break
			}
			out.Items = append(out.Items, it)
		}
		writeJSON(w, 200, out)
	})
	mux.HandleFunc("GET /keys/{key...}", func(w http.ResponseWriter, r *http.Request) {
		it, found, err := view.Get(r.Context(), r.PathValue("key"))
		switch {
		case err != nil:
			writeJSON(w, 503, nil)
		case !found:
			writeJSON(w, 404, wire.TxnResponse{})
		default:
			writeJSON(w, 200, it)
		}
	})
	mux.HandleFunc("POST /multi", func(w http.ResponseWriter, r *http.Request) {
		var m wire.Txn
		if json.NewDecoder(r.Body).Decode(&m) != nil {
			writeJSON(w, 400, nil)
			return
		}
		rev, err := view.Commit(r.Context(), m)
		switch {
		case errors.Is(err, kvstore.ErrRefused) && !strings.Contains(err.Error(), "no such lease"):
			writeJSON(w, 503, nil)
		case errors.Is(err, kvstore.ErrConflict):
			writeJSON(w, 409, wire.TxnResponse{Revision: rev})
		case err != nil:
			writeJSON(w, 400, wire.Error{Error: "no such lease"})
		default:
			writeJSON(w, 200, wire.TxnResponse{Revision: rev})
		}
	})
	mux.HandleFunc("POST /holds", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			writeJSON(w, 400, nil)
			return
		}
		id, err := view.GrantLease(r.Context(), time.Duration(in.TTL)*time.Millisecond)
		if err != nil {
			writeJSON(w, 503, nil)
			return
		}
		writeJSON(w, 200, wire.LeaseResponse{LeaseID: id})
	})
	mux.HandleFunc("POST /holds/{id}/extend", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		if err := view.KeepAlive(r.Context(), id, 0); err != nil {
			writeJSON(w, 404, nil)
			return
		}
		writeJSON(w, 200, struct{}{})
	})
	mux.HandleFunc("GET /changes", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		block, _ := strconv.Atoi(q.Get("block_ms"))
		out, err := view.Watch(r.Context(), q.Get("prefix"), after, time.Duration(block)*time.Millisecond)
		if err != nil {
			writeJSON(w, 503, nil)
			return
		}
		writeJSON(w, 200, out)
	})
	return mux
}

// newCloud answers as a cloud that has rented the workers' machines and has no more.
func newCloud(machines []wire.Instance, types []wire.MachineType) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, wire.Catalog{Types: types}) })
	mux.HandleFunc("GET /rentals", func(w http.ResponseWriter, r *http.Request) {
		out := wire.InstancePage{}
		for _, m := range machines {
			if strings.Compare(m.ID, r.URL.Query().Get("after")) > 0 {
				out.Instances = append(out.Instances, m)
			}
		}
		writeJSON(w, 200, out)
	})
	mux.HandleFunc("POST /rentals", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 503, wire.Error{Error: "no capacity"}) })
	mux.HandleFunc("POST /rentals/return", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, struct{}{}) })
	return mux
}
