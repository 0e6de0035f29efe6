package console

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// An export that stops after the first page, hides the events that a full ring has dropped or fails because one
// controller is down would leave operators with an incomplete history. The file that the export writes must also
// be the one that the check reads.
func TestExportHistoryCollectsAllPagesAndCanBeChecked(t *testing.T) {
	now := int64(0)
	ring := history.NewRing("a", 5000, func() int64 { now++; return now })
	for i := range 6000 {
		ring.Add(history.Event{Kind: history.JobFinished, Job: string(rune('a' + i%20)), Note: "done"})
	}
	a := controllerStub("a", map[string]responder{"History": func(in, out any) {
		request := in.(peer.HistoryRequest)
		*out.(*history.Page) = ring.Page(request.From, request.Most)
	}})
	path := filepath.Join(t.TempDir(), "h.parquet")
	var out bytes.Buffer
	require.NoError(t, ExportHistory(&out, []Controller{a, controllerDown("b")}, path))
	require.Contains(t, out.String(), "a keeps its latest 5000 events; 1000 earlier ones are gone")
	require.Contains(t, out.String(), "5000 events of 1 controllers")
	require.Contains(t, out.String(), "not reached: b")
	require.NoError(t, CheckHistory(&out, path, 1000))
	ring.Add(history.Event{Kind: history.JobFinished, Job: "a", Note: "cancelled"})
	require.NoError(t, ExportHistory(&out, []Controller{a}, path))
	require.ErrorContains(t, CheckHistory(&out, path, 1000), "1 rules are broken")
	require.ErrorIs(t, ExportHistory(&out, []Controller{controllerDown("b")}, path), ErrUnreachable)
}
