package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// pagedLeader answers polls with machines of its own, page by page.
type pagedLeader struct {
	incarnation string
	parts       map[int]uint64
	version     uint64
	machines    int
	calls       []PollRequest
	onCall      func(call int)
	stuck       bool // it answers with the first page always
}

func (o *pagedLeader) poll(in PollRequest) (PollResponse, error) {
	o.calls = append(o.calls, in)
	if o.onCall != nil {
		o.onCall(len(o.calls))
	}
	out := PollResponse{Incarnation: o.incarnation, Cursor: o.version, Full: true, Parts: o.parts}
	for i := range o.machines {
		id := fmt.Sprintf("m-%06d", i)
		if id <= in.AfterID && !o.stuck {
			continue
		}
		if len(out.Machines) == in.Most {
			out.More = true
			break
		}
		out.Machines = append(out.Machines, MachineView{ID: id})
	}
	return out, nil
}

// The answer of an owner of thousands of machines is read in pages, none of which waits
// for a change, and what changes meanwhile is listed by the next poll.
func TestPagesAreJoined(t *testing.T) {
	o := &pagedLeader{incarnation: "one", parts: map[int]uint64{0: 7}, version: 10, machines: 4*PageMachines + 1}
	o.onCall = func(call int) { o.version = uint64(10 * call) }
	all, err := CollectPages(PollRequest{Wait: 1000}, o.poll)
	require.NoError(t, err)
	require.Len(t, all.Machines, o.machines)
	require.False(t, all.More)
	require.EqualValues(t, 10, all.Cursor, "the first page's: later changes are asked for again")
	require.Len(t, o.calls, 5)
	require.EqualValues(t, 1000, o.calls[0].Wait)
	require.Zero(t, o.calls[1].Wait)
	for i := range all.Machines {
		require.Equal(t, fmt.Sprintf("m-%06d", i), all.Machines[i].ID)
	}
}

// An answer that names a partition must list all of its machines: those that are missing
// count as gone, and their tasks would start once more elsewhere. So nothing is joined across
// a change of the owner's process or of the partitions that it holds.
func TestPagesOfDifferentOwnersAreNotJoined(t *testing.T) {
	for name, change := range map[string]func(*pagedLeader){
		"another process":                func(o *pagedLeader) { o.incarnation = "two" },
		"a partition was lost":           func(o *pagedLeader) { o.parts = map[int]uint64{} },
		"pages don't follow one another": func(o *pagedLeader) { o.stuck = true },
		"a partition has another term": func(o *pagedLeader) {
			o.parts = map[int]uint64{0: 8}
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := &pagedLeader{incarnation: "one", parts: map[int]uint64{0: 7}, machines: 2 * PageMachines}
			o.onCall = func(call int) {
				if call == 2 {
					change(o)
				}
			}
			_, err := CollectPages(PollRequest{}, o.poll)
			require.ErrorIs(t, err, ErrPagesDiffer)
		})
	}
}
