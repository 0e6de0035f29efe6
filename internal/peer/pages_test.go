package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// pagedLeader is a partition leader that answers polls page by page.
type pagedLeader struct {
	incarnation    string
	partitionTerms map[int]uint64
	version        uint64
	machines       int
	calls          []PollRequest
	onCall         func(call int) // called before the answer to each call, counted from 1
	repeats        bool           // every call is answered with the first page
}

func (l *pagedLeader) poll(in PollRequest) (PollResponse, error) {
	l.calls = append(l.calls, in)
	if l.onCall != nil {
		l.onCall(len(l.calls))
	}
	out := PollResponse{Incarnation: l.incarnation, Cursor: l.version, Full: true, Parts: l.partitionTerms}
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

// The first response of a leader with thousands of machines takes several pages. Only the first page may wait
// for a change, and the joined response must have the first page's cursor: with a later one, the next poll
// would miss changes to machines on pages that were read before the change.
func TestPagesOfOneLeaderAreJoined(t *testing.T) {
	leader := &pagedLeader{incarnation: "one", partitionTerms: map[int]uint64{0: 7}, version: 10, machines: 4*PageMachines + 1}
	leader.onCall = func(call int) { leader.version = uint64(10 * call) }
	all, err := CollectPages(PollRequest{Wait: 1000}, leader.poll)
	require.NoError(t, err)
	require.Len(t, all.Machines, leader.machines)
	require.False(t, all.More)
	require.EqualValues(t, 10, all.Cursor, "the first page's cursor, so that the next poll lists later changes again")
	require.Len(t, leader.calls, 5)
	require.EqualValues(t, 1000, leader.calls[0].Wait)
	require.Zero(t, leader.calls[1].Wait)
	for i := range all.Machines {
		require.Equal(t, fmt.Sprintf("m-%06d", i), all.Machines[i].ID)
	}
}

// A scheduler takes a machine that a full response omits for gone and starts its tasks elsewhere. Pages from
// before and after a change of the leader's incarnation or partitions may together omit machines that still
// run tasks, so joining them would start tasks twice.
func TestPagesAcrossLeaderChangeAreNotJoined(t *testing.T) {
	for name, change := range map[string]func(*pagedLeader){
		"another incarnation":            func(l *pagedLeader) { l.incarnation = "two" },
		"a partition was lost":           func(l *pagedLeader) { l.partitionTerms = map[int]uint64{} },
		"pages don't follow one another": func(l *pagedLeader) { l.repeats = true },
		"a partition has another term":   func(l *pagedLeader) { l.partitionTerms = map[int]uint64{0: 8} },
	} {
		t.Run(name, func(t *testing.T) {
			leader := &pagedLeader{incarnation: "one", partitionTerms: map[int]uint64{0: 7}, machines: 2 * PageMachines}
			leader.onCall = func(call int) {
				if call == 2 {
					change(leader)
				}
			}
			_, err := CollectPages(PollRequest{}, leader.poll)
			require.ErrorIs(t, err, ErrPagesDiffer)
		})
	}
}
