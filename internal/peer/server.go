package peer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// acceptBackoff is how long the server waits after it could not accept a connection, for instance because
// the process is at its limit of sockets: trying again immediately would only use the processor.
const acceptBackoff = 50 * time.Millisecond

// Serve answers peers on addr with the methods of svc until ctx ends, and counts the traffic. It fails when
// it can't listen.
//
// A connection is served by a goroutine of its own that ends when the peer closes the connection. Serve does
// not wait for these: a poll may take its whole waiting time, and by then the process is to have ended.
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
		go server.ServeConn(traffic.Conn(conn))
	}
}
