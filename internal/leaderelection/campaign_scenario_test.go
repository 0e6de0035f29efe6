package leaderelection

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Each acquires the duty that it is preferred for; each duty has one leader.
func TestLeadershipsAreAcquiredByTheirPreferredLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a, b, c := startProcess(t, st, "a"), startProcess(t, st, "b"), startProcess(t, st, "c")
		time.Sleep(2 * time.Second)
		require.True(t, a.leads("one") && b.leads("two") && c.leads("three"))
		require.False(t, a.leads("two") || b.leads("one"))
	})
}

// The number of controllers was changed, and with it the partitions. A new duty's term is above those of the former duties.
func TestNewDutyTermExceedsAllFormerTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		_, err := (&fakes.KVClient{KVStore: st}).Commit(t.Context(), wire.Txn{Operations: []wire.Operation{
			{Put: kvstore.LeaderPrefix + "part-of-old", Value: Record{"a", "gone", 41}}}})
		require.NoError(t, err)
		a := startProcess(t, st, "a")
		time.Sleep(time.Second)
		h, ok := a.Leading("one")
		require.True(t, ok)
		require.EqualValues(t, 42, h.Term)
	})
}
