package peer

import (
	"errors"
	"maps"
)

// PageMachines is the maximum number of machines in one page of the response to a poll. The first response
// after a restart lists all machines with all tasks, and a controller with a small share of a core must be
// able to write, send and read a page well within the timeout of a call.
const PageMachines = 250

// ErrPagesDiffer means that the pages of a response can't be joined: the partition leader's incarnation or its
// partitions changed between two pages, or a page does not continue the one before.
var ErrPagesDiffer = errors.New("the pages of an answer do not belong together")

// CollectPages polls a partition leader page by page with call and joins the pages into one response. It
// returns errors of call unchanged.
//
// The response has the cursor of the first page, so the next poll lists again whatever changes while the
// later pages are read. A full response must list every machine of the partitions that it names, since the
// scheduler takes a missing machine for gone and starts its tasks elsewhere. Therefore a page of another
// incarnation, or one sent while the leader held other partitions, ends the poll with ErrPagesDiffer.
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

// continues reports whether a page comes from the same incarnation and partitions as the pages before it and
// lists machines after lastID. Without the second condition CollectPages would request pages forever from a
// leader that answers with an empty page or the same page again.
func continues(all, page *PollResponse, lastID string) bool {
	sameState := page.Incarnation == all.Incarnation && page.Full == all.Full && maps.Equal(page.Parts, all.Parts)
	return sameState && len(page.Machines) > 0 && page.Machines[0].ID > lastID
}
