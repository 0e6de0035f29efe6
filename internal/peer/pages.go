package peer

import (
	"errors"
	"maps"
)

// PageMachines is how many machines an answer to a poll lists at a time. A controller
// with a small share of a core must be able to write, send and read one well within the
// time that a call has: the first answer after a restart lists all machines with all tasks.
const PageMachines = 250

// ErrPagesDiffer means that the owner's process or its partitions changed between two
// pages of an answer, or that a page does not follow the one before.
var ErrPagesDiffer = errors.New("the pages of an answer do not belong together")

// CollectPages polls an owner page by page and joins the pages into one answer.
//
// The cursor is that of the first page: what changes while the others are read is listed
// again by the next poll. An answer must list every machine of the partitions that it
// names, since a machine that is missing from it counts as gone. So pages of another
// process, or given while other partitions were held, are not joined.
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
		if page.Incarnation != all.Incarnation || page.Full != all.Full || !maps.Equal(page.Parts, all.Parts) {
			return PollResponse{}, ErrPagesDiffer
		}
		if len(page.Machines) == 0 || page.Machines[0].ID <= in.AfterID {
			return PollResponse{}, ErrPagesDiffer // it would be asked for again for ever
		}
		all.Machines = append(all.Machines, page.Machines...)
		more = page.More
	}
	all.More = false
	return all, nil
}
