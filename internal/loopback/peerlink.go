package loopback

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
)

// peerProxy forwards TCP connections to a target address, and can simulate a network failure: setDisconnected closes
// the open connections, and connections made afterwards get no answer until the proxy is reconnected. It can also deliver
// copies of the calls that a connection has carried.
type peerProxy struct {
	target string
	copies *fakes.Copies // nil: none

	mu           sync.Mutex // guards the fields below
	disconnected bool
	conns        map[net.Conn]bool
}

// newPeerProxy starts a proxy, which listens on a free port of the loopback address until the program ends. It
// returns the proxy and its address.
func newPeerProxy(target string, copies *fakes.Copies) (p *peerProxy, addr string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p = &peerProxy{target: target, copies: copies, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, listener.Addr().String(), nil
}

// track registers a connection, so that the next setDisconnected closes it. It returns true if the proxy is
// disconnected; the caller must not forward the connection then.
func (p *peerProxy) track(conn net.Conn) (disconnected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return p.disconnected
}

// untrack removes a connection from the registered ones and closes it.
func (p *peerProxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	conn.Close()
}

// forward copies data between an accepted connection and the target until either side ends. While the proxy is
// disconnected, it holds the connection open without an answer.
func (p *peerProxy) forward(conn net.Conn) {
	defer p.untrack(conn)
	if p.track(conn) {
		io.Copy(io.Discard, conn) //nolint:errcheck // returns when the connection is closed
		return
	}
	upstream, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer p.untrack(upstream)
	p.track(upstream)
	var calls io.Reader = conn
	if p.copies != nil {
		calls = p.recordCalls(conn)
	}
	go func() {
		io.Copy(upstream, calls) //nolint:errcheck // ends with either side
		upstream.Close()
	}()
	io.Copy(conn, upstream) //nolint:errcheck // ends with either side
}

// maxRecordedCalls is the largest number of bytes that a recordedCalls holds.
const maxRecordedCalls = 256 << 10

// recordedCalls holds the first bytes of a connection, which are whole calls but for the last one. It is safe for concurrent use.
type recordedCalls struct {
	mu    sync.Mutex
	bytes []byte
}

// Write records bytes, as far as there is room.
func (r *recordedCalls) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes = append(r.bytes, b[:min(len(b), maxRecordedCalls-len(r.bytes))]...)
	return len(b), nil
}

// snapshot returns what was recorded so far.
func (r *recordedCalls) snapshot() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.bytes)
}

// copiesPerConnection is the number of times that the calls of a connection may be delivered once more.
const copiesPerConnection = 4

// recordCalls returns a reader of a connection's calls that keeps them for copies. A copy is a connection with the calls that were
// recorded by then.
func (p *peerProxy) recordCalls(conn io.Reader) io.Reader {
	calls := &recordedCalls{}
	for range copiesPerConnection {
		p.copies.Keep(fakes.PeerCall, func() { p.repeatCalls(calls.snapshot()) })
	}
	return io.TeeReader(conn, calls)
}

// repeatCalls makes calls on a new connection and drops the answers.
func (p *peerProxy) repeatCalls(calls []byte) {
	upstream, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	upstream.SetDeadline(time.Now().Add(copyTimeout)) //nolint:errcheck // the connection is new
	if _, err := upstream.Write(calls); err == nil {
		io.Copy(io.Discard, upstream) //nolint:errcheck // the answers are dropped
	}
}

// setDisconnected disconnects or reconnects the proxy. It closes all open connections in both cases: on reconnection
// the open ones are those that were accepted while the proxy was disconnected and got no answer.
func (p *peerProxy) setDisconnected(disconnected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = disconnected
	for conn := range p.conns {
		conn.Close()
	}
}
