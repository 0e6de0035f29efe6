package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Each setting that is too small for a large fleet must be reported with its value, and settings that suffice must not.
func TestInsufficientSettingsForLargeFleetAreReportedOneByOne(t *testing.T) {
	s := &Settings{}
	s.Params.Count = 5
	s.Params.Limits.FileDescriptors, s.Params.Limits.MemoryMB, s.Params.Cloud.RPS = 1200, 120, 3
	require.Empty(t, s.Insufficient(LargeFleet))
	s.Params.Limits.FileDescriptors = 800
	require.Len(t, s.Insufficient(LargeFleet), 1)
	require.Contains(t, s.Insufficient(LargeFleet)[0], "fd_limit is 800: of the 800 workers")
	s.Params.Limits.MemoryMB, s.Params.Cloud.RPS = 81, 1
	require.Len(t, s.Insufficient(LargeFleet), 3)
	require.Empty(t, s.Insufficient(300))
}
