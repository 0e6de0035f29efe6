package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
)

// writeJSON writes a response with a status and the JSON form of a value.
func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	w.Write(b) //nolint:errcheck // the client may be gone
}

// contentType is the content type of all requests.
const contentType = "application/json"

// copyTimeout bounds how long the sender of a copy waits for the answer, which it drops.
const copyTimeout = 5 * time.Second

// postUnanswered sends a request for whose answer nobody waits.
func postUnanswered(url string, body []byte) {
	client := &http.Client{Timeout: copyTimeout}
	resp, err := client.Post(url, contentType, bytes.NewReader(body))
	if err == nil {
		resp.Body.Close()
	}
}

// withCopies returns a handler that also handles copies of answered POST requests.
func withCopies(copies *fakes.Copies, kind fakes.MessageKind, handler http.Handler) http.Handler {
	if copies == nil {
		return handler
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			handler.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			writeJSON(w, http.StatusBadRequest, nil)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		handler.ServeHTTP(w, r)
		copies.Keep(kind, func() {
			repeated := r.Clone(context.WithoutCancel(r.Context()))
			repeated.Body = io.NopCloser(bytes.NewReader(body))
			handler.ServeHTTP(droppedResponse{http.Header{}}, repeated)
		})
	})
}

// droppedResponse is the response to a copy, which nobody reads.
type droppedResponse struct{ header http.Header }

// Header returns a header that is not sent.
func (r droppedResponse) Header() http.Header { return r.header }

// Write drops the body.
func (droppedResponse) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader drops the status.
func (droppedResponse) WriteHeader(int) {}

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
