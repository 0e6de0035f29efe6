package golden

import (
	"encoding/hex"
	"errors"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// update makes the tests write golden files that are missing. Existing files are never overwritten.
var update = flag.Bool("update", false, "write missing golden files")

// sample returns a value of a type with every field set, also in nested types. A slice has two elements, a map one
// entry. Every boolean is true; other values differ between fields. The values depend on the order of the fields, not on
// their names, so that a type with renamed fields gets the same sample.
func sample[T any]() T {
	var v T
	n := 0
	fill(reflect.ValueOf(&v).Elem(), &n)
	return v
}

func fill(v reflect.Value, counter *int) {
	*counter++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("text-" + strings.Repeat("x", *counter%7) + string(rune('a'+*counter%26)) + string(rune('a'+*counter/26%26)))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*counter))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*counter))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*counter) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), counter)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i), counter)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, elem := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, counter)
		fill(elem, counter)
		v.SetMapIndex(key, elem)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), counter)
		}
	default:
		panic("no sample for " + v.Type().String())
	}
}

// readGolden returns the content of a golden file. With -update it first writes the file if it is missing.
func readGolden(t *testing.T, path string, encode func() []byte) []byte {
	t.Helper()
	path = filepath.Join("testdata", path)
	if *update {
		f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
		if !errors.Is(err, fs.ErrExist) {
			require.NoError(t, err)
			_, err = f.Write(encode())
			require.NoError(t, err)
			require.NoError(t, f.Close())
		}
	}
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	return b
}

// toHex returns bytes as hexadecimal text, with 32 bytes on a line.
func toHex(b []byte) []byte {
	var out strings.Builder
	for len(b) > 0 {
		n := min(32, len(b))
		out.WriteString(hex.EncodeToString(b[:n]) + "\n")
		b = b[n:]
	}
	return []byte(out.String())
}

func fromHex(t *testing.T, text []byte) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	require.NoError(t, err)
	return b
}

// If a test case is deleted from a table by mistake, its golden file remains but is no longer compared with anything.
func TestGoldenFilesAllHaveATest(t *testing.T) {
	want := []string{"testdata/records/keys.txt", "testdata/records/machine_of_own_key.json"}
	for _, m := range messages {
		want = append(want, "testdata/rpc/"+m.name+".hex")
	}
	for _, r := range records {
		want = append(want, "testdata/records/"+r.name+".json")
	}
	var have []string
	for _, pattern := range []string{"testdata/rpc/*", "testdata/records/*"} {
		files, err := filepath.Glob(pattern)
		require.NoError(t, err)
		have = append(have, files...)
	}
	require.ElementsMatch(t, want, have)
}
