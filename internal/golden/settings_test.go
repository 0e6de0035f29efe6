package golden_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/config"
)

func fullSettings(t *testing.T) *config.Settings {
	t.Helper()
	s, err := config.Load("testdata/settings/full.json")
	require.NoError(t, err)
	return s
}

// settingsWith returns the full settings with the field at a path of JSON names set to value, or without the field if
// value is nil.
func settingsWith(t *testing.T, path string, value any) []byte {
	t.Helper()
	b, err := os.ReadFile("testdata/settings/full.json")
	require.NoError(t, err)
	var all map[string]any
	require.NoError(t, json.Unmarshal(b, &all))
	names := strings.Split(path, ".")
	parent := all
	for _, n := range names[:len(names)-1] {
		switch next := parent[n].(type) {
		case map[string]any:
			parent = next
		case []any:
			parent = next[len(next)-1].(map[string]any)
		}
	}
	parent[names[len(names)-1]] = value
	if value == nil {
		delete(parent, names[len(names)-1])
	}
	b, err = json.Marshal(all)
	require.NoError(t, err)
	return b
}

func formatSettings(s *config.Settings) []byte {
	var out strings.Builder
	line := func(name string, values ...any) { fmt.Fprintln(&out, append([]any{name}, values...)...) }
	p := &s.Params
	line("host_name", s.Host)
	line("location", s.Zone)
	line("listen", s.Listen)
	line("cluster_listen", s.PeerListen)
	for _, o := range s.Peers {
		line("other", o.Host, o.Zone, o.Addr)
	}
	line("cloud", s.Services.Cloud)
	line("state", s.Services.Store)
	line("count", p.Count)
	line("zones", p.Zones)
	for _, t := range p.Teams {
		line("team", t.Name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax)
	}
	for _, o := range p.Objectives {
		line("objective", o.Kind, o.Class, o.WithinS, o.Share, o.Most, o.Times)
	}
	line("report_s", p.Workers.ReportS)
	line("lease_s", p.Workers.LeaseS)
	line("lease", int64(s.Lease()))
	line("cancel_s", p.Workers.CancelS)
	line("state rps", p.Store.RPS)
	line("write_rps", p.Store.WriteRPS)
	line("value_kb", p.Store.ValueKB)
	line("txn_ops", p.Store.TxnOps)
	line("cloud rps", p.Cloud.RPS)
	line("list_lag_s", p.Cloud.ListLagS)
	line("core_share", p.Limits.CoreShare)
	line("memory_mb", p.Limits.MemoryMB)
	line("fd_limit", p.Limits.FileDescriptors)
	line("skew_ms", p.SkewMS)
	inbound, orders := s.Sockets()
	line("sockets", inbound, orders)
	for _, text := range s.Assumed {
		line("assumed:", text)
	}
	for _, text := range s.Degradations() {
		line("without:", text)
	}
	for _, text := range s.Insufficient(config.LargeFleet) {
		line("insufficient:", text)
	}
	return []byte(out.String())
}

// The platform writes the settings file by JSON names. If a name is mapped to the wrong field, a controller runs with a
// wrong setting.
func TestSettingsFileSetsEveryValue(t *testing.T) {
	goldenFile(t, "settings/full.txt", formatSettings(fullSettings(t)))
}

// Operators read these texts in the log: which limits are assumed, what the controller does without, and which limits
// are too small for a large fleet.
func TestSmallSettingsKeepTexts(t *testing.T) {
	for name, limits := range map[string]string{
		"none":  `{}`,
		"small": `{"core_share":0.01,"memory_mb":40,"fd_limit":20}`,
	} {
		t.Run(name, func(t *testing.T) {
			s, err := config.Parse([]byte(`{"host_name":"a","listen":"127.0.0.1:1","cluster_listen":"127.0.0.1:2",
				"services":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},"params":{"workers":{"report_s":1,"lease_s":8,"cancel_s":1},
				"state":{"rps":2,"write_rps":0.5,"value_kb":1,"txn_ops":1},"cloud":{"rps":0.5},"machine_limits":` + limits + `}}`))
			require.NoError(t, err)
			goldenFile(t, "settings/"+name+".txt", formatSettings(s))
		})
	}
}

// Operators locate a mistake in the settings by these error texts.
func TestSettingsErrorsKeepTexts(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		path  string
		value any
	}{
		{"host_name", nil}, {"host_name", 5}, {"listen", nil}, {"listen", "here"}, {"cluster_listen", "127.0.0.1"},
		{"services.cloud", "x:1"},
		{"services.state", ""}, {"services", []int{}}, {"others.addr", "b"}, {"others.host_name", nil}, {"others.host_name", "a"},
		{"others.host_name", "b"},
		{"params.machine_limits.core_share", -1}, {"params.machine_limits.memory_mb", -1}, {"params.machine_limits.fd_limit", -1},
		{"params.count", -1}, {"params.workers.report_s", nil}, {"params.workers.lease_s", 0}, {"params.workers.cancel_s", -1},
		{"params.workers.lease_s", "16"}, {"params.state.rps", nil}, {"params.state.write_rps", nil}, {"params.state.value_kb", nil},
		{"params.state.txn_ops", nil}, {"params.state.txn_ops", 1.5}, {"params.cloud.rps", nil},
		{"params.teams.name", nil}, {"params.teams.name", "red"}, {"params.teams.cpus", -1}, {"params.teams.gpus_max", -1},
		{"params.teams.cpus_max", 1},
	} {
		_, err := config.Parse(settingsWith(t, c.path, c.value))
		require.Error(t, err, "%s = %v", c.path, c.value)
		fmt.Fprintf(&out, "%s = %v: %v\n", c.path, c.value, err)
	}
	_, err := config.Parse([]byte("{"))
	require.Error(t, err)
	fmt.Fprintf(&out, "cut off: %v\n", err)
	_, err = config.Load("testdata/settings/absent.json")
	require.Error(t, err)
	fmt.Fprintf(&out, "absent: %v\n", err)
	goldenFile(t, "settings/refusals.txt", []byte(out.String()))
}

// The settings may omit the number of controllers. It is then the number of controllers that they name, this one
// included.
func TestSettingsWithoutCountUseNumberOfControllers(t *testing.T) {
	s, err := config.Parse(settingsWith(t, "params.count", nil))
	require.NoError(t, err)
	require.Equal(t, 3, s.Params.Count)
}
