package controller

import (
	"errors"
	"fmt"
	"reflect"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// peerConnection is a controller's connection to a peer.
type peerConnection struct {
	cluster *cluster
	to      string
	from    string
}

var errDisconnected = errors.New("disconnected")

// Call calls a peer's method. While the caller is paused, the call waits. While the peer is paused, or either side is cut from its
// peers, the call times out, and reaches the peer later.
func (p peerConnection) Call(method string, in, out any, timeout time.Duration) error {
	p.cluster.awaitResume(p.from)
	if passable := p.passableAgain(); passable != nil {
		return p.deliverLate(passable, method, in, out, timeout)
	}
	err := p.deliver(method, in, out)
	if err == nil {
		p.cluster.keepCopy(fakes.PeerCall, func() { p.deliverUnanswered(method, in, out) })
	}
	p.cluster.awaitResume(p.from)
	return err
}

// passableAgain returns a channel that is closed when the connection passes calls again, or nil if it passes them now.
func (p peerConnection) passableAgain() chan struct{} {
	if resumed := p.cluster.resumeSignal(p.to); resumed != nil {
		return resumed
	}
	if ended := p.cluster.signal(p.cluster.cutFromPeers, p.to); ended != nil {
		return ended
	}
	return p.cluster.signal(p.cluster.cutFromPeers, p.from)
}

// deliverLate times out a call, and delivers it when the connection passes calls again.
func (p peerConnection) deliverLate(passable chan struct{}, method string, in, out any, timeout time.Duration) error {
	go func() {
		<-passable
		p.deliverUnanswered(method, in, out)
	}()
	time.Sleep(timeout)
	return errDisconnected
}

// deliverUnanswered delivers a call for whose answer, of the type of out, nobody waits.
func (p peerConnection) deliverUnanswered(method string, in, out any) {
	p.deliver(method, in, reflect.New(reflect.TypeOf(out).Elem()).Interface()) //nolint:errcheck // nobody waits
}

// deliver calls a method, given by its name on the wire, of the process that the connection reaches now.
func (p peerConnection) deliver(method string, in, out any) error {
	p.cluster.mu.Lock()
	latency := p.cluster.peerLatency
	p.cluster.mu.Unlock()
	time.Sleep(latency)
	defer time.Sleep(latency)
	target := p.cluster.processReachedBy(p.from, p.to)
	if target == nil {
		time.Sleep(50 * time.Millisecond)
		return errDisconnected
	}
	s := &rpcService{target.Controller}
	switch method {
	case "Round":
		return s.Round(in.(peer.Batch), out.(*peer.BatchResponse))
	case "Poll":
		return s.Poll(in.(peer.PollRequest), out.(*peer.PollResponse))
	case "Hello":
		return s.Hello(in.(peer.Heartbeat), out.(*peer.Heartbeat))
	case "Status":
		return s.Status(in.(peer.JobRequest), out.(*peer.JobResponse))
	case "Submit":
		return s.Submit(in.(peer.SubmitRequest), out.(*peer.SubmitResponse))
	case "Demand":
		return s.Demand(in.(peer.Heartbeat), out.(*peer.DemandResponse))
	case "Withdraw":
		return s.Withdraw(in.(peer.JobRequest), out.(*peer.JobResponse))
	}
	return fmt.Errorf("no such method: %s", method)
}

// processReachedBy returns the process that a controller reaches on another host, or nil if it reaches none.
func (c *cluster) processReachedBy(from, to string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected[to] || c.disconnected[from] {
		return nil
	}
	return c.processes[to]
}
