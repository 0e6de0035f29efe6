// Package kit has the stand-ins and helpers of the review's cases: a state service, a cloud, workers, users and
// links that can be cut. They follow the protocol page, listen on loopback addresses only, and use the real clock.
package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Listen serves a handler on a free loopback port and returns the address.
func Listen(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Must(err)
	server := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	go server.Serve(l) //nolint:errcheck // ends with the process
	return l.Addr().String()
}

// FreePort returns a loopback address whose port was free a moment ago. The address differs between processes, so that
// runs beside each other don't take each other's ports.
func FreePort() string {
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.1:0", 1+os.Getpid()/250%250, 1+os.Getpid()%250))
	Must(err)
	defer l.Close()
	return l.Addr().String()
}

// Answer writes a JSON response.
func Answer(w http.ResponseWriter, status int, body any) {
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	w.WriteHeader(status)
	w.Write(b) //nolint:errcheck // the client may be gone
}

// Must ends the program with 2, "the case could not run", after an error.
func Must(err error) {
	if err != nil {
		CannotRun(err.Error())
	}
}

// cleanups run before the program ends.
var cleanups []func()

// Exit runs the cleanups and ends the program.
func Exit(code int) {
	for _, f := range cleanups {
		f()
	}
	os.Exit(code)
}

// CannotRun ends the program with 2.
func CannotRun(why string) {
	fmt.Fprintln(os.Stderr, "the case could not run:", why)
	Note("could not run: %s", why)
	Exit(2)
}

var (
	recordMu   sync.Mutex
	recordFile *os.File
	recordAt   = time.Now()
)

// OpenRecord opens the record of the run.
func OpenRecord(path string) {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	recordFile = f
}

// Note adds a line to the record.
func Note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		fmt.Fprintf(recordFile, "%8.3f %s\n", time.Since(recordAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Link is a proxy for one direction of use between two hosts. While it is cut, packets are held: what was sent on
// connections that were open arrives in order when the cut is over; a connection attempt completes then if its
// caller still waits, and never otherwise.
type Link struct {
	Addr   string
	target string

	mu  sync.Mutex
	cut chan struct{} // closed when the cut is over; nil: not cut
}

// NewLink starts a link to a target.
func NewLink(target string) *Link {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Must(err)
	link := &Link{Addr: l.Addr().String(), target: target}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go link.serve(conn)
		}
	}()
	return link
}

// SetCut begins or ends a cut.
func (l *Link) SetCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && l.cut == nil:
		l.cut = make(chan struct{})
	case !on && l.cut != nil:
		close(l.cut)
		l.cut = nil
	}
}

func (l *Link) wait() {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	if cut != nil {
		<-cut
	}
}

func (l *Link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut != nil
}

func (l *Link) serve(conn net.Conn) {
	defer conn.Close()
	if l.isCut() {
		first := make([]byte, 64<<10)
		got := make(chan int, 1)
		go func() {
			n, _ := conn.Read(first)
			got <- n
		}()
		l.wait()
		// The caller has given up if its end of the connection is closed.
		select {
		case n := <-got:
			if n == 0 || closedByPeer(conn) {
				return
			}
			l.forward(conn, first[:n])
		default:
			conn.SetReadDeadline(time.Now()) //nolint:errcheck // only ends the read above
			n := <-got
			conn.SetReadDeadline(time.Time{}) //nolint:errcheck // as above
			l.forward(conn, first[:n])
		}
		return
	}
	l.forward(conn, nil)
}

func closedByPeer(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(time.Millisecond)) //nolint:errcheck // reset below
	defer conn.SetReadDeadline(time.Time{})                //nolint:errcheck // as above
	var b [1]byte
	_, err := conn.Read(b[:])
	return err == io.EOF
}

func (l *Link) forward(conn net.Conn, first []byte) {
	up, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	defer up.Close()
	if len(first) > 0 {
		if _, err := up.Write(first); err != nil {
			return
		}
	}
	done := make(chan struct{})
	go func() {
		l.copy(up, conn)
		if c, ok := up.(*net.TCPConn); ok {
			c.CloseWrite() //nolint:errcheck // the other side may be gone
		}
		close(done)
	}()
	l.copy(conn, up)
	conn.Close()
	<-done
}

func (l *Link) copy(to, from net.Conn) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		l.wait()
		if n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
