package loopback

import (
	"encoding/json"
	"net"
	"net/http"
)

// writeJSON writes a response with a status and the JSON form of a value.
func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b) //nolint:errcheck // the client may be gone
}

// serve starts an HTTP server on a free port of the loopback address, which runs until the program ends. It returns
// the server's address.
func serve(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, h) //nolint:errcheck // until the program ends
	return l.Addr().String(), nil
}
