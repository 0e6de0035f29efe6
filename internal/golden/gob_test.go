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

// normalForm returns a text for a gob stream of one value that is the same for all compatible encodings: one line for
// the structure of the type, with the names and the order of its fields, and one for the bytes of the value in hex. It
// leaves out the type ids, which depend on what the process has encoded before, and the names of Go types and packages,
// which decoders ignore.
func normalForm(t *testing.T, stream []byte) string {
	t.Helper()
	r := &gobReader{b: stream}
	types := map[int]gobType{}
	for len(r.b) > 0 {
		size := int(r.uint())
		messageReader := &gobReader{b: r.readBytes(size)}
		id := messageReader.int()
		if id >= 0 {
			require.NoError(t, errors.Join(r.err, messageReader.err))
			require.Empty(t, r.b, "one value to a stream")
			return formatType(types, id) + "\n" + hex.EncodeToString(messageReader.b) + "\n"
		}
		types[-id] = messageReader.readTypeDefinition()
		require.NoError(t, errors.Join(r.err, messageReader.err))
	}
	require.Fail(t, "no value in the stream")
	return ""
}

// gobType is the definition of a struct type, or of a container of other types.
type gobType struct {
	form   string // "struct", "slice", "map", "array"
	fields []gobField
	elems  []int // type ids of a map's key and element, or of another container's element
	length int
}

type gobField struct {
	name string
	id   int
}

// basicTypes names the types whose ids the gob format fixes.
var basicTypes = map[int]string{1: "bool", 2: "int", 3: "uint", 4: "float", 5: "bytes", 6: "string", 7: "complex", 8: "interface"}

func formatType(types map[int]gobType, id int) string {
	if name, ok := basicTypes[id]; ok {
		return name
	}
	definition, ok := types[id]
	if !ok {
		return fmt.Sprintf("undefined %d", id)
	}
	var parts []string
	for _, f := range definition.fields {
		parts = append(parts, f.name+" "+formatType(types, f.id))
	}
	for _, e := range definition.elems {
		parts = append(parts, formatType(types, e))
	}
	if definition.form == "array" {
		parts = append(parts, fmt.Sprint(definition.length))
	}
	return definition.form + "{" + strings.Join(parts, "; ") + "}"
}

// gobReader reads numbers, strings and type definitions in the gob format. After an error its methods return zero
// values.
type gobReader struct {
	b   []byte
	err error
}

func (r *gobReader) readBytes(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.err, r.b = errors.New("gob stream is cut short"), nil
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *gobReader) uint() (v uint64) {
	first := r.readBytes(1)
	if first == nil || first[0] < 128 {
		if first != nil {
			v = uint64(first[0])
		}
		return v
	}
	for _, c := range r.readBytes(256 - int(first[0])) {
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

func (r *gobReader) readString() string { return string(r.readBytes(int(r.uint()))) }

// eachField calls visit for each field of an encoded struct, with the field's number, which counts from 1. The
// encoding omits fields with a zero value.
func (r *gobReader) eachField(visit func(field int)) {
	for field := 0; r.err == nil; {
		delta := int(r.uint())
		if delta == 0 {
			return
		}
		field += delta
		visit(field)
	}
}

// readTypeDefinition reads a type definition, which is gob's wireType: an ArrayType, a SliceType, a StructType or a
// MapType. Each of these begins with the type's name and id, which are skipped.
func (r *gobReader) readTypeDefinition() (definition gobType) {
	r.eachField(func(kind int) {
		definition.form = map[int]string{1: "array", 2: "slice", 3: "struct", 4: "map"}[kind]
		if definition.form == "" {
			r.err = fmt.Errorf("type definition of kind %d", kind)
			return
		}
		r.eachField(func(field int) {
			switch {
			case field == 1:
				r.eachField(func(common int) {
					if common == 1 {
						r.readString()
					} else {
						r.int()
					}
				})
			case definition.form == "struct":
				for range r.uint() {
					var f gobField
					r.eachField(func(part int) {
						if part == 1 {
							f.name = r.readString()
						} else {
							f.id = r.int()
						}
					})
					definition.fields = append(definition.fields, f)
				}
			case definition.form == "array" && field == 3:
				definition.length = r.int()
			default:
				definition.elems = append(definition.elems, r.int())
			}
		})
	})
	return definition
}

func encodeGob(t *testing.T, v any) []byte {
	t.Helper()
	var buf bytes.Buffer
	require.NoError(t, gob.NewEncoder(&buf).Encode(v))
	return buf.Bytes()
}

func decodeGob(t *testing.T, b []byte, out any) {
	t.Helper()
	require.NoError(t, gob.NewDecoder(bytes.NewReader(b)).Decode(out))
}

// The normal form must change with the names, the order, the kinds and the values of fields; otherwise the tests of
// messages would miss such a change. It must not change with type names and ids; otherwise they would fail after a
// renaming that does no harm.
func TestNormalFormDependsOnFieldsOnly(t *testing.T) {
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
