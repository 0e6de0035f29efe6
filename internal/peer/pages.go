package peer

import (
	"errors"
	"maps"
)

// PageMachines is how many machines a page of a poll's response lists. A controller
// with a small share of a core must be able to write, send and read one well within the
// time that a call has: the first response after a restart lists all machines with all tasks.
const PageMachines = 250

// ErrPagesDiffer means that the partition leader's incarnation or its partitions changed between two
// pages of a response, or that a page does not follow the one before.
var ErrPagesDiffer = errors.New("the pages of an answer do not belong together")

// CollectPages polls a partition leader page by page and joins the pages into one response. Errors of
// call are given as they are.
//
// The cursor is that of the first page: what changes while the others are read is listed
// again by the next poll. A response must list every machine of the partitions that it
// names, since a machine that is missing from it counts as gone. So pages of another
// incarnation, or given while other partitions were led, are not joined.
func CollectPages(in PollRequest, call func(PollRequest) (PollResponse, error)) (PollResponse, error) {
	in.Most = PageMachines
	all, err := call(in)
	if err != nil {
		return PollResponse{}, err
	}
	for more := all.More && len(all.Machines) > 0; more; {
		in.Wait = 0
		in.AfterID = all.Machines[len(all.Machines)-1].ID
		page, err := call(in)
		if err != nil {
			return PollResponse{}, err
		}
		if !continues(&all, &page, in.AfterID) {
			return PollResponse{}, ErrPagesDiffer
		}
		all.Machines = append(all.Machines, page.Machines...)
		more = page.More
	}
	all.More = false
	return all, nil
}

// continues reports that a page is of the same incarnation and partitions as those before, and lists
// machines after the last of them. One that lists none, or the same ones, would be asked for without end.
func continues(all, page *PollResponse, lastID string) bool {
	sameState := page.Incarnation == all.Incarnation && page.Full == all.Full && maps.Equal(page.Parts, all.Parts)
	return sameState && len(page.Machines) > 0 && page.Machines[0].ID > lastID
}
