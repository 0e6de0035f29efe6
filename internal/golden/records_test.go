package golden

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/segmentio/encoding/json"
	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/partition"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// record is the value of a key of the state service.
type record struct {
	name  string
	check func(t *testing.T, path string)
}

func recordOf[T any](name string, value T) record {
	return record{name, func(t *testing.T, path string) {
		t.Helper()
		encoded, err := json.Marshal(value)
		require.NoError(t, err)
		// The file ends with a line break, the value does not.
		want := bytes.TrimSuffix(golden(t, path, func() []byte { return append(encoded, '\n') }), []byte("\n"))
		require.Equal(t, string(want), string(encoded))
		var decoded T
		require.NoError(t, json.Unmarshal(want, &decoded))
		require.Equal(t, value, decoded)
	}}
}

var records = []record{
	recordOf("claim", sample[leaderelection.Record]()),
	recordOf("claim_zero", leaderelection.Record{}),
	recordOf("registration", sample[leaderelection.Registration]()),
	recordOf("registration_zero", leaderelection.Registration{}),
	recordOf("job", sample[jobs.Record]()),
	recordOf("job_zero", jobs.Record{}),
	recordOf("final", sample[jobs.Final]()),
	recordOf("final_zero", jobs.Final{}),
	recordOf("machines", sample[inventory.Group]()),
	recordOf("machines_zero", inventory.Group{"m-1": {}}),
	recordOf("zone", sample[zone.Record]()),
	recordOf("zone_zero", zone.Record{}),
	recordOf("catalog", sample[wire.Catalog]()),
	recordOf("catalog_zero", wire.Catalog{Types: []wire.MachineType{{}}}),
}

// Controllers of two releases read each other's records, and a release reads those that were written
// before it was installed.
func TestStoredRecordsKeepEncodedForm(t *testing.T) {
	for _, r := range records {
		t.Run(r.name, func(t *testing.T) { r.check(t, "records/"+r.name+".json") })
	}
}

// The release before machines shared keys left records of one machine to a key, which are read
// until their machines are gone.
func TestMachineRecordOfItsOwnKeyIsRead(t *testing.T) {
	b := inventory.NewRecords()
	value := golden(t, "records/machine_of_own_key.json", func() []byte {
		return []byte(`{"addr":"10.0.0.1:7000","type":"large","zone":"a","spot":true}` + "\n")
	})
	came, went := b.Apply(kvstore.Event{Key: "ml/m/m-1", Value: value, ModRevision: 7})
	require.Empty(t, went)
	require.Equal(t, inventory.Group{"m-1": {Addr: "10.0.0.1:7000", Type: "large", Zone: "a", Spot: true}}, came)
	require.True(t, b.HasLegacy())
}

// Keys are found by their prefixes and names: a key of another form would be a record lost.
func TestKeysKeepTheirForm(t *testing.T) {
	keys := map[string]string{
		"root": kvstore.RootPrefix, "claims": kvstore.LeaderPrefix, "nodes": kvstore.ControllerPrefix, "active": kvstore.ActiveJobPrefix,
		"final": kvstore.FinalJobPrefix, "machines": kvstore.MachinePrefix, "progress": kvstore.ProgressPrefix,
		"watermarks": kvstore.WatermarkPrefix, "catalog": kvstore.CatalogKey, "zones": kvstore.ZonePrefix,
		"claim of a team":            kvstore.LeaderPrefix + scheduler.Duty("team/ü 1"),
		"claim of a partition":       kvstore.LeaderPrefix + partition.Duty(7),
		"claim of the fleet":         kvstore.LeaderPrefix + autoscaler.Duty,
		"machines of group 0":        inventory.NewRecords().PlanWrites(7, inventory.Group{"m-1": {}}, nil, 1<<16)[0].Key,
		"machines of partition 1234": inventory.NewRecords().PlanWrites(1234, inventory.Group{"m-1": {}}, nil, 1<<16)[0].Key,
	}
	group := inventory.Group{}
	for i := range 33 {
		group[strings.Repeat("m", i+1)] = inventory.Record{}
	}
	plan := inventory.NewRecords().PlanWrites(7, group, nil, 1<<16)
	require.Len(t, plan, 2)
	keys["machines of group 1"] = plan[1].Key

	// The writes of a controller that registers itself as cut off, and takes a claim.
	b := leaderelection.NewElection("host-1", []string{"host-1"}, []string{"fleet"}, 0)
	b.StartIncarnation("host-1#1", 5, 1<<40)
	b.Apply(kvstore.Event{Key: "ml/n/host-1", Value: []byte(`{"incarnation":"host-1#1"}`), ModRevision: 3})
	note, ok := b.ReachabilityUpdate(true)
	require.True(t, ok)
	keys["registration"] = note.Operations[0].Put
	wanted := b.Campaign(1<<30, 0)
	require.Len(t, wanted, 1)
	keys["claim"] = wanted[0].Txn.Operations[0].Put

	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		text.WriteString(name + ": " + keys[name] + "\n")
	}
	require.Equal(t, string(golden(t, "records/keys.txt", func() []byte { return []byte(text.String()) })), text.String())
}
