package loopback

import (
	"encoding/json"
	"net"
	"net/http"
)

// writeJSON writes a value as the response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b) //nolint:errcheck // the client may be gone
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
