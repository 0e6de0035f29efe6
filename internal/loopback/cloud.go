package loopback

import (
	"net/http"

	"github.com/merlinlatch/merlinlatch/wire"
)

// cloud is a fake cloud whose instances are the workers' machines. It has no capacity for further ones. It accepts
// requests to return instances, but keeps the instances.
type cloud struct {
	machines []wire.Instance // sorted by id
	types    []wire.MachineType
}

// handler returns the handler of the cloud's paths.
func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", c.getCatalog)
	mux.HandleFunc("GET /rentals", c.listInstances)
	mux.HandleFunc("POST /rentals", rejectScaleOut)
	mux.HandleFunc("POST /rentals/return", acceptScaleIn)
	return mux
}

func (c *cloud) getCatalog(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, wire.Catalog{Types: c.types})
}

// listInstances answers with all instances after the one that the client names, on a single page.
func (c *cloud) listInstances(w http.ResponseWriter, r *http.Request) {
	page := wire.InstancePage{}
	after := r.URL.Query().Get("after")
	for _, m := range c.machines {
		if m.ID > after {
			page.Instances = append(page.Instances, m)
		}
	}
	writeJSON(w, http.StatusOK, page)
}

func rejectScaleOut(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
}

func acceptScaleIn(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{}{})
}
