package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Workers report tasks by name. A name that is not one, or whose number would overflow, must not be taken for a
// task.
func TestTaskNameIsSplitAndOtherNamesAreNot(t *testing.T) {
	job, n, ok := SplitTask(TaskName("job-7", 99999))
	require.True(t, ok)
	require.Equal(t, "job-7", job)
	require.Equal(t, 99999, n)
	for _, bad := range []string{"", "/", "job-7/", "/3", "job-7/x", "job-7/-1", "job-7/123456789"} {
		_, _, ok := SplitTask(bad)
		require.False(t, ok, bad)
	}
}
