package golden_test

import (
	"errors"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var writeGolden = flag.Bool("update-texts", false, "write the golden texts that do not exist yet")

// goldenFile fails unless got equals the content of a file under testdata. With -update-texts it writes the file if
// there is none; it never replaces an existing file.
func goldenFile(t *testing.T, path string, got []byte) {
	t.Helper()
	path = filepath.Join("testdata", path)
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && *writeGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
		return
	}
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "%s", path)
}
