package peer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// acceptBackoff is how long the server pauses after it failed to accept a connection, for instance because
// the process has reached its limit of file descriptors. Without the pause the loop would use a whole CPU
// until a descriptor becomes free.
const acceptBackoff = 50 * time.Millisecond

// Serve answers peers on addr with the methods of svc until ctx ends, and counts their traffic. It returns an
// error when it can't register svc or can't listen on addr.
//
// Each connection has a goroutine of its own, which ends when the peer closes the connection. Serve does not
// wait for these goroutines: a poll may take its whole waiting time, and the process has to end before that.
func Serve(ctx context.Context, addr string, svc any, traffic *telemetry.Traffic) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, svc); err != nil {
		return fmt.Errorf("registering the service: %w", err)
	}
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("cluster_listen: %w", err)
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		go server.ServeConn(traffic.CountConn(conn))
	}
}
