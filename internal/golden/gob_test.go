package golden

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A gob stream carries type ids, which depend on what the process has encoded before, and Go type
// names with their packages, which no decoder looks at. What counts is the structure of
// the types, the names and the order of their fields, and the bytes of the value. normalForm
// gives these as text: a line for the type, one for the value in hex.
func normalForm(t *testing.T, stream []byte) string {
	t.Helper()
	r := &gobReader{b: stream}
	types := map[int]gobType{}
	for len(r.b) > 0 {
		size := int(r.uint())
		m := &gobReader{b: r.take(size)}
		id := m.int()
		if id >= 0 {
			require.NoError(t, errors.Join(r.err, m.err))
			require.Empty(t, r.b, "one value to a stream")
			return describe(types, id) + "\n" + hex.EncodeToString(m.b) + "\n"
		}
		types[-id] = m.typeDefinition()
		require.NoError(t, errors.Join(r.err, m.err))
	}
	require.Fail(t, "no value in the stream")
	return ""
}

// gobType is a type definition: of a struct, or of a container of other types.
type gobType struct {
	form   string // "struct", "slice", "map", "array"
	fields []gobField
	elems  []int // of a container: key and element, or element
	length int
}

type gobField struct {
	name string
	id   int
}

// basicTypes are the ids that the gob format itself gives.
var basicTypes = map[int]string{1: "bool", 2: "int", 3: "uint", 4: "float", 5: "bytes", 6: "string", 7: "complex", 8: "interface"}

func describe(types map[int]gobType, id int) string {
	if name, ok := basicTypes[id]; ok {
		return name
	}
	d, ok := types[id]
	if !ok {
		return fmt.Sprintf("undefined %d", id)
	}
	var parts []string
	for _, f := range d.fields {
		parts = append(parts, f.name+" "+describe(types, f.id))
	}
	for _, e := range d.elems {
		parts = append(parts, describe(types, e))
	}
	if d.form == "array" {
		parts = append(parts, fmt.Sprint(d.length))
	}
	return d.form + "{" + strings.Join(parts, "; ") + "}"
}

// gobReader reads the numbers and strings of the gob format.
type gobReader struct {
	b   []byte
	err error
}

func (r *gobReader) take(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.err, r.b = errors.New("gob stream is cut short"), nil
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *gobReader) uint() (v uint64) {
	first := r.take(1)
	if first == nil || first[0] < 128 {
		if first != nil {
			v = uint64(first[0])
		}
		return v
	}
	for _, c := range r.take(256 - int(first[0])) {
		v = v<<8 | uint64(c)
	}
	return v
}

func (r *gobReader) int() int {
	u := r.uint()
	if u&1 != 0 {
		return int(^(u >> 1))
	}
	return int(u >> 1)
}

func (r *gobReader) text() string { return string(r.take(int(r.uint()))) }

// each visits the fields of a struct value that are set, by their numbers from 1 on.
func (r *gobReader) each(visit func(field int)) {
	for field := 0; r.err == nil; {
		delta := int(r.uint())
		if delta == 0 {
			return
		}
		field += delta
		visit(field)
	}
}

// typeDefinition reads gob's wireType: one of ArrayType, SliceType, StructType and MapType, each
// of which begins with its name and id.
func (r *gobReader) typeDefinition() (d gobType) {
	r.each(func(kind int) {
		d.form = map[int]string{1: "array", 2: "slice", 3: "struct", 4: "map"}[kind]
		if d.form == "" {
			r.err = fmt.Errorf("type definition of kind %d", kind)
			return
		}
		r.each(func(field int) {
			switch {
			case field == 1:
				r.each(func(common int) {
					if common == 1 {
						r.text()
					} else {
						r.int()
					}
				})
			case d.form == "struct":
				for range r.uint() {
					var f gobField
					r.each(func(part int) {
						if part == 1 {
							f.name = r.text()
						} else {
							f.id = r.int()
						}
					})
					d.fields = append(d.fields, f)
				}
			case d.form == "array" && field == 3:
				d.length = r.int()
			default:
				d.elems = append(d.elems, r.int())
			}
		})
	})
	return d
}

func encodeGob(t *testing.T, v any) []byte {
	t.Helper()
	var buf bytes.Buffer
	require.NoError(t, gob.NewEncoder(&buf).Encode(v))
	return buf.Bytes()
}

func decodeGob(t *testing.T, b []byte, into any) {
	t.Helper()
	require.NoError(t, gob.NewDecoder(bytes.NewReader(b)).Decode(into))
}

// The normal form must tell types apart by their fields' names, order and kinds, else the golden
// tests could not fail; and it must not depend on type names and ids.
func TestNormalFormTellsWhatIsOnTheWire(t *testing.T) {
	type A struct {
		X int
		Y []string
		Z map[string]uint64
	}
	type B A
	type renamed struct {
		X int
		W []string
		Z map[string]uint64
	}
	type reordered struct {
		Y []string
		X int
		Z map[string]uint64
	}
	type retyped struct {
		X uint
		Y []string
		Z map[string]uint64
	}
	a := A{-3, []string{"p", "q"}, map[string]uint64{"k": 1 << 40}}
	require.Equal(t, "struct{X int; Y slice{string}; Z map{string; uint}}", strings.Split(normalForm(t, encodeGob(t, a)), "\n")[0])
	require.Equal(t, normalForm(t, encodeGob(t, a)), normalForm(t, encodeGob(t, B(a))))
	for _, other := range []any{renamed{a.X, a.Y, a.Z}, reordered{a.Y, a.X, a.Z}, retyped{3, a.Y, a.Z}, A{-2, a.Y, a.Z}} {
		require.NotEqual(t, normalForm(t, encodeGob(t, a)), normalForm(t, encodeGob(t, other)), "%T", other)
	}
}
