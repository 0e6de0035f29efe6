package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// pagedLeader answers polls as a partition leader, page by page.
type pagedLeader struct {
	incarnation string
	parts       map[int]uint64
	version     uint64
	machines    int
	calls       []PollRequest
	onCall      func(call int)
	repeats     bool // it answers with the first page always
}

func (l *pagedLeader) poll(in PollRequest) (PollResponse, error) {
	l.calls = append(l.calls, in)
	if l.onCall != nil {
		l.onCall(len(l.calls))
	}
	out := PollResponse{Incarnation: l.incarnation, Cursor: l.version, Full: true, Parts: l.parts}
	for i := range l.machines {
		id := fmt.Sprintf("m-%06d", i)
		if id <= in.AfterID && !l.repeats {
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

// The response of a leader of thousands of machines is read in pages, none of which waits
// for a change, and what changes meanwhile is listed by the next poll.
func TestPagesOfOneLeaderAreJoined(t *testing.T) {
	l := &pagedLeader{incarnation: "one", parts: map[int]uint64{0: 7}, version: 10, machines: 4*PageMachines + 1}
	l.onCall = func(call int) { l.version = uint64(10 * call) }
	all, err := CollectPages(PollRequest{Wait: 1000}, l.poll)
	require.NoError(t, err)
	require.Len(t, all.Machines, l.machines)
	require.False(t, all.More)
	require.EqualValues(t, 10, all.Cursor, "the first page's: later changes are asked for again")
	require.Len(t, l.calls, 5)
	require.EqualValues(t, 1000, l.calls[0].Wait)
	require.Zero(t, l.calls[1].Wait)
	for i := range all.Machines {
		require.Equal(t, fmt.Sprintf("m-%06d", i), all.Machines[i].ID)
	}
}

// A response that names a partition must list all of its machines: those that are missing
// count as gone, and their tasks would start once more elsewhere. So nothing is joined across
// a change of the leader's incarnation or of the partitions that it leads.
func TestPagesAcrossLeaderChangeAreNotJoined(t *testing.T) {
	for name, change := range map[string]func(*pagedLeader){
		"another incarnation":            func(l *pagedLeader) { l.incarnation = "two" },
		"a partition was lost":           func(l *pagedLeader) { l.parts = map[int]uint64{} },
		"pages don't follow one another": func(l *pagedLeader) { l.repeats = true },
		"a partition has another term":   func(l *pagedLeader) { l.parts = map[int]uint64{0: 8} },
	} {
		t.Run(name, func(t *testing.T) {
			l := &pagedLeader{incarnation: "one", parts: map[int]uint64{0: 7}, machines: 2 * PageMachines}
			l.onCall = func(call int) {
				if call == 2 {
					change(l)
				}
			}
			_, err := CollectPages(PollRequest{}, l.poll)
			require.ErrorIs(t, err, ErrPagesDiffer)
		})
	}
}
