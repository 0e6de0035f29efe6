package peer

import (
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heartbeatStub answers heartbeats, some with an error, some not in time.
type heartbeatStub struct{ release chan struct{} }

func (s *heartbeatStub) Hello(in Heartbeat, out *Heartbeat) error {
	switch in.From {
	case "rejected":
		return errors.New("not you")
	case "unanswered":
		<-s.release
	}
	out.Machines = 7
	return nil
}

// dialHeartbeatStub serves the stub on a port of the loopback and gives a client for it.
func dialHeartbeatStub(t *testing.T) *Client {
	t.Helper()
	stub := &heartbeatStub{release: make(chan struct{})}
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName(serviceName, stub))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go server.Accept(listener)
	t.Cleanup(func() {
		listener.Close()
		close(stub.release)
	})
	return NewClient(listener.Addr().String(), nil)
}

func TestCallOfPeerThatIsDownIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	c := NewClient(listener.Addr().String(), nil)
	require.NoError(t, listener.Close())
	for range 2 { // the second time without a dial
		require.ErrorIs(t, c.Call("Hello", Heartbeat{}, &Heartbeat{}, time.Second), ErrUnavailable)
	}
}

// An error of the peer's own says nothing against the connection.
func TestCallWithServerErrorKeepsConnection(t *testing.T) {
	c := dialHeartbeatStub(t)
	err := c.Call("Hello", Heartbeat{From: "rejected"}, &Heartbeat{}, 10*time.Second)
	var answered rpc.ServerError
	require.ErrorAs(t, err, &answered)
	require.NotErrorIs(t, err, ErrUnavailable)
	require.NotNil(t, c.conn)
}

// A call without an answer may yet be carried out; the next one goes over another connection.
func TestCallWithoutAnswerInTimeDropsConnection(t *testing.T) {
	c := dialHeartbeatStub(t)
	require.ErrorIs(t, c.Call("Hello", Heartbeat{From: "unanswered"}, &Heartbeat{}, 20*time.Millisecond), ErrUnavailable)
	require.Nil(t, c.conn)
	var out Heartbeat
	require.NoError(t, c.Call("Hello", Heartbeat{}, &out, 10*time.Second))
	require.Equal(t, 7, out.Machines)
}
