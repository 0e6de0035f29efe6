package controller

import (
	"time"

	"github.com/merlinlatch/merlinlatch/internal/partition"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
)

const (
	// batchTimeout bounds the call that sends a batch to a partition leader. After a timeout the batch counts as
	// unanswered, and the partition leader may or may not have made its assignments.
	batchTimeout = 1500 * time.Millisecond
	// pollMargin is the time that a poll's call may take beyond the time for which the partition leader waits for changes.
	pollMargin = 1500 * time.Millisecond
)

// partitionClients returns a client for the partition server of each controller, including this one, by host.
func (c *Controller) partitionClients() map[string]scheduler.PartitionClient {
	out := map[string]scheduler.PartitionClient{c.settings.Host: localPartition{c.partitions}}
	for host, client := range c.peers {
		out[host] = remotePartition{client}
	}
	return out
}

// localPartition calls the partition server of this controller. Its calls never fail.
type localPartition struct{ server *partition.Server }

// ApplyBatch passes a batch to the server.
func (l localPartition) ApplyBatch(in peer.Batch) (peer.BatchResponse, error) {
	return l.server.HandleBatch(in), nil
}

// Poll passes a poll to the server.
func (l localPartition) Poll(in peer.PollRequest) (peer.PollResponse, error) {
	return l.server.HandlePoll(in), nil
}

// remotePartition calls the partition server of a peer.
type remotePartition struct{ client PeerClient }

// ApplyBatch sends a batch to the peer. After an error the peer may or may not have applied the batch.
func (r remotePartition) ApplyBatch(in peer.Batch) (out peer.BatchResponse, err error) {
	err = r.client.Call(methodBatch, in, &out, batchTimeout)
	return out, err
}

// Poll asks the peer for the machines that have changed and joins the pages of the answer.
func (r remotePartition) Poll(in peer.PollRequest) (peer.PollResponse, error) {
	return peer.CollectPages(in, func(in peer.PollRequest) (out peer.PollResponse, err error) {
		err = r.client.Call(methodPoll, in, &out, in.Wait.Duration()+pollMargin)
		return out, err
	})
}
