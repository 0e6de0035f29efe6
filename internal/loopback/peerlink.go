package loopback

import (
	"io"
	"net"
	"sync"
)

// link carries connections to an address, and can be cut: then those that are open end, and new
// ones hang without an answer until it is joined again.
type link struct {
	to string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// newLink makes a link that listens on a free address of the loopback range.
func newLink(to string) (l *link, addr string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	l = &link{to: to, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l, listener.Addr().String(), nil
}

// keep notes a connection that ends with the next cut or joining; cut tells that it goes nowhere.
func (l *link) keep(c net.Conn) (cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return l.cut
}

func (l *link) drop(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	c.Close()
}

func (l *link) carry(c net.Conn) {
	defer l.drop(c)
	if l.keep(c) {
		io.Copy(io.Discard, c) //nolint:errcheck // it hangs until it is closed
		return
	}
	out, err := net.Dial("tcp4", l.to)
	if err != nil {
		return
	}
	defer l.drop(out)
	l.keep(out)
	go func() {
		io.Copy(out, c) //nolint:errcheck // ends with either side
		out.Close()
	}()
	io.Copy(c, out) //nolint:errcheck // ends with either side
}

// set cuts the link, or joins it.
func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for c := range l.conns {
		c.Close()
	}
}
