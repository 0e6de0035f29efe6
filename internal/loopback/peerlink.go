package loopback

import (
	"io"
	"net"
	"sync"
)

// peerProxy carries connections to an address, and can be cut: then those that are open end, and new
// ones hang without an answer until it is joined again.
type peerProxy struct {
	target string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// newPeerProxy makes a link that listens on a free address of the loopback range.
func newPeerProxy(to string) (l *peerProxy, addr string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	l = &peerProxy{target: to, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(c)
		}
	}()
	return l, listener.Addr().String(), nil
}

// track notes a connection that ends with the next cut or joining; cut tells that it goes nowhere.
func (l *peerProxy) track(c net.Conn) (cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return l.cut
}

func (l *peerProxy) untrack(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	c.Close()
}

func (l *peerProxy) forward(c net.Conn) {
	defer l.untrack(c)
	if l.track(c) {
		io.Copy(io.Discard, c) //nolint:errcheck // it hangs until it is closed
		return
	}
	out, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	defer l.untrack(out)
	l.track(out)
	go func() {
		io.Copy(out, c) //nolint:errcheck // ends with either side
		out.Close()
	}()
	io.Copy(c, out) //nolint:errcheck // ends with either side
}

// setCut cuts the link, or joins it.
func (l *peerProxy) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for c := range l.conns {
		c.Close()
	}
}
