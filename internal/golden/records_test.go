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

// record is a test case for one kind of value in the key-value store.
type record struct {
	name  string
	check func(t *testing.T, path string)
}

func recordOf[T any](name string, value T) record {
	return record{name, func(t *testing.T, path string) {
		t.Helper()
		encoded, err := json.Marshal(value)
		require.NoError(t, err)
		// The golden file ends with a line break, which is not part of the stored value.
		want := bytes.TrimSuffix(readGolden(t, path, func() []byte { return append(encoded, '\n') }), []byte("\n"))
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

// During an upgrade, controllers of two releases read each other's records, and a new release reads the records that
// an earlier one wrote. A changed encoding would make these records unreadable.
func TestStoredRecordsKeepEncodedForm(t *testing.T) {
	for _, r := range records {
		t.Run(r.name, func(t *testing.T) { r.check(t, "records/"+r.name+".json") })
	}
}

// An earlier release stored each machine's record under a key of its own, whereas several machines now share a key.
// Records in the earlier form remain until their machines are gone, and must still be read; otherwise a controller would
// not know these machines.
func TestMachineRecordWithOwnKeyIsRead(t *testing.T) {
	inventoryRecords := inventory.NewRecords()
	value := readGolden(t, "records/machine_of_own_key.json", func() []byte {
		return []byte(`{"addr":"10.0.0.1:7000","type":"large","zone":"a","spot":true}` + "\n")
	})
	added, removed := inventoryRecords.Apply(kvstore.Event{Key: "ml/m/m-1", Value: value, ModRevision: 7})
	require.Empty(t, removed)
	require.Equal(t, inventory.Group{"m-1": {Addr: "10.0.0.1:7000", Type: "large", Zone: "a", Spot: true}}, added)
	require.True(t, inventoryRecords.HasLegacy())
}

// Controllers find records by their keys' prefixes and names. A key in a changed form would make the records of an
// earlier release invisible.
func TestKeysKeepForm(t *testing.T) {
	keys := map[string]string{
		"root": kvstore.RootPrefix, "claims": kvstore.LeaderPrefix, "nodes": kvstore.ControllerPrefix, "active": kvstore.ActiveJobPrefix,
		"final": kvstore.FinalJobPrefix, "machines": kvstore.MachinePrefix, "progress": kvstore.ProgressPrefix,
		"watermarks": kvstore.WatermarkPrefix, "catalog": kvstore.CatalogKey, "zones": kvstore.ZonePrefix,
		"claim of a team":            kvstore.LeaderPrefix + scheduler.TeamDuty("team/ü 1"),
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

	// The writes of a controller that publishes in its registration that its workers don't reach it, and that campaigns
	// for a leadership.
	election := leaderelection.NewElection("host-1", []string{"host-1"}, []string{"fleet"}, 0)
	election.StartIncarnation("host-1#1", 5, 1<<40)
	election.Apply(kvstore.Event{Key: "ml/n/host-1", Value: []byte(`{"incarnation":"host-1#1"}`), ModRevision: 3})
	update, ok := election.ReachabilityUpdate(true)
	require.True(t, ok)
	keys["registration"] = update.Operations[0].Put
	campaigns := election.Campaign(1<<30, 0)
	require.Len(t, campaigns, 1)
	keys["claim"] = campaigns[0].Txn.Operations[0].Put

	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		text.WriteString(name + ": " + keys[name] + "\n")
	}
	require.Equal(t, string(readGolden(t, "records/keys.txt", func() []byte { return []byte(text.String()) })), text.String())
}
