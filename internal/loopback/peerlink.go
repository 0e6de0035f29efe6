package loopback

import (
	"io"
	"net"
	"sync"
)

// peerProxy forwards connections to an address, and can be cut: then open ones are closed, and new ones hang
// without an answer until it is reconnected.
type peerProxy struct {
	target string

	mu    sync.Mutex // guards the fields below
	cut   bool
	conns map[net.Conn]bool
}

// newPeerProxy makes a proxy that listens on a free port of the loopback address until the program ends.
func newPeerProxy(to string) (p *peerProxy, addr string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p = &peerProxy{target: to, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, listener.Addr().String(), nil
}

// track adds a connection that is closed by the next setCut; cut means that it must not be forwarded.
func (p *peerProxy) track(c net.Conn) (cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	return p.cut
}

// untrack closes a connection.
func (p *peerProxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	c.Close()
}

// forward serves one connection until either side ends.
func (p *peerProxy) forward(c net.Conn) {
	defer p.untrack(c)
	if p.track(c) {
		io.Copy(io.Discard, c) //nolint:errcheck // it hangs until it is closed
		return
	}
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer p.untrack(out)
	p.track(out)
	go func() {
		io.Copy(out, c) //nolint:errcheck // ends with either side
		out.Close()
	}()
	io.Copy(c, out) //nolint:errcheck // ends with either side
}

// setCut cuts the proxy, or reconnects it; open connections are closed in both cases.
func (p *peerProxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for c := range p.conns {
		c.Close()
	}
}
