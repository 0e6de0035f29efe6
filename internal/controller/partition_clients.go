package controller

import (
	"time"

	"github.com/merlinlatch/merlinlatch/internal/partition"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
)

const (
	// batchTimeout is how long a partition leader's answer to a batch is waited for; after it the batch counts as
	// unanswered, and its assignments as possibly made.
	batchTimeout = 1500 * time.Millisecond
	// pollMargin is how much longer than the poll itself waits its answer may take.
	pollMargin = 1500 * time.Millisecond
)

// partitionClients returns a client for the partition server of each controller, this one included.
func (c *Controller) partitionClients() map[string]scheduler.PartitionClient {
	out := map[string]scheduler.PartitionClient{c.settings.Host: localPartition{c.partitions}}
	for host, client := range c.peers {
		out[host] = remotePartition{client}
	}
	return out
}

// localPartition is the partition server of this controller. Its calls never fail.
type localPartition struct{ server *partition.Server }

// ApplyBatch has the server answer a batch.
func (l localPartition) ApplyBatch(in peer.Batch) (peer.BatchResponse, error) {
	return l.server.HandleBatch(in), nil
}

// Poll has the server answer a poll.
func (l localPartition) Poll(in peer.PollRequest) (peer.PollResponse, error) {
	return l.server.HandlePoll(in), nil
}

// remotePartition is the partition server of a peer.
type remotePartition struct{ client PeerClient }

// ApplyBatch sends a batch. After an error it is not known whether it was applied.
func (r remotePartition) ApplyBatch(in peer.Batch) (out peer.BatchResponse, err error) {
	err = r.client.Call(methodBatch, in, &out, batchTimeout)
	return out, err
}

// Poll polls for changed machines and puts the pages of the answer together.
func (r remotePartition) Poll(in peer.PollRequest) (peer.PollResponse, error) {
	return peer.CollectPages(in, func(in peer.PollRequest) (out peer.PollResponse, err error) {
		err = r.client.Call(methodPoll, in, &out, in.Wait.Duration()+pollMargin)
		return out, err
	})
}
