package peer

import (
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heartbeatStub is a peer that answers heartbeats: those from "rejected" with an error, and those from
// "unanswered" only after release is closed.
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

// dialHeartbeatStub serves a heartbeatStub on a loopback port and returns a client for it.
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

// A call to a peer that is down must fail with ErrUnavailable, by which callers tell it from a peer's rejection.
func TestCallOfPeerThatIsDownIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	c := NewClient(listener.Addr().String(), nil)
	require.NoError(t, listener.Close())
	for range 2 { // the second call fails within redialInterval, without a dial
		require.ErrorIs(t, c.Call("Hello", Heartbeat{}, &Heartbeat{}, time.Second), ErrUnavailable)
	}
}

// A peer that answers with an error has a working connection. If the client closed it, every rejected call
// would fail the other calls on the shared connection.
func TestCallWithServerErrorKeepsConnection(t *testing.T) {
	c := dialHeartbeatStub(t)
	err := c.Call("Hello", Heartbeat{From: "rejected"}, &Heartbeat{}, 10*time.Second)
	var answered rpc.ServerError
	require.ErrorAs(t, err, &answered)
	require.NotErrorIs(t, err, ErrUnavailable)
	require.NotNil(t, c.conn)
}

// A peer that stopped answering keeps its connection open. If the client kept that connection after a timeout,
// all later calls would time out too; instead the next call dials a new one.
func TestCallWithoutAnswerInTimeDropsConnection(t *testing.T) {
	c := dialHeartbeatStub(t)
	require.ErrorIs(t, c.Call("Hello", Heartbeat{From: "unanswered"}, &Heartbeat{}, 20*time.Millisecond), ErrUnavailable)
	require.Nil(t, c.conn)
	var out Heartbeat
	require.NoError(t, c.Call("Hello", Heartbeat{}, &out, 10*time.Second))
	require.Equal(t, 7, out.Machines)
}
