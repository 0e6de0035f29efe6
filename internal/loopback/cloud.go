package loopback

import (
	"net/http"

	"github.com/merlinlatch/merlinlatch/wire"
)

// cloud is a cloud that has rented the workers' machines and has no more.
type cloud struct {
	machines []wire.Instance // in order of their ids
	types    []wire.MachineType
}

// handler answers the paths of the cloud.
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

// listInstances answers all machines after the one that the client names, on one page.
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
