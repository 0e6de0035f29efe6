package loopback

import (
	"io"
	"net"
	"sync"
)

// peerProxy forwards TCP connections to a target address, and can simulate a network failure: setDisconnected closes
// the open connections, and connections made afterwards get no answer until the proxy is reconnected.
type peerProxy struct {
	target string

	mu           sync.Mutex // guards the fields below
	disconnected bool
	conns        map[net.Conn]bool
}

// newPeerProxy starts a proxy, which listens on a free port of the loopback address until the program ends. It
// returns the proxy and its address.
func newPeerProxy(target string) (p *peerProxy, addr string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p = &peerProxy{target: target, conns: map[net.Conn]bool{}}
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
	go func() {
		io.Copy(upstream, conn) //nolint:errcheck // ends with either side
		upstream.Close()
	}()
	io.Copy(conn, upstream) //nolint:errcheck // ends with either side
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
