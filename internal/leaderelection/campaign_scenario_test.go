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

// Each controller acquires the duty that it is preferred for, so that each duty has exactly one leader.
func TestLeadershipsAreAcquiredByTheirPreferredLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKVStore()
		a, b, c := startProcess(t, kv, "a"), startProcess(t, kv, "b"), startProcess(t, kv, "c")
		time.Sleep(2 * time.Second)
		require.True(t, a.leads("one") && b.leads("two") && c.leads("three"))
		require.False(t, a.leads("two") || b.leads("one"))
	})
}

// When the number of controllers changes, so do the partitions. The term of a new duty has to exceed the terms of all former
// duties; otherwise workers would reject its fencing tokens.
func TestNewDutyTermExceedsAllFormerTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKVStore()
		_, err := (&fakes.KVClient{KVStore: kv}).Commit(t.Context(), wire.Txn{Operations: []wire.Operation{
			{Put: kvstore.LeaderPrefix + "part-of-old", Value: Record{"a", "gone", 41}}}})
		require.NoError(t, err)
		a := startProcess(t, kv, "a")
		time.Sleep(time.Second)
		leadership, ok := a.Leading("one")
		require.True(t, ok)
		require.EqualValues(t, 42, leadership.Term)
	})
}
