package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var writeGolden = flag.Bool("update", false, "write the golden files that do not exist yet")

// goldenSettings is the path of the settings that the command lines use.
const goldenSettings = "../../internal/golden/testdata/settings/full.json"

// goldenCommands lists the command lines, each with the name of its golden file.
var goldenCommands = []struct {
	name string
	args []string
}{
	{"help", []string{"--help"}},
	{"help_check", []string{"check", "--help"}},
	{"help_teams", []string{"teams", "--help"}},
	{"help_zones", []string{"zones", "--help"}},
	{"help_zones_hold", []string{"zones", "hold", "--help"}},
	{"help_zones_resume", []string{"zones", "resume", "--help"}},
	{"help_history", []string{"history", "--help"}},
	{"help_history_export", []string{"history", "export", "--help"}},
	{"help_history_check", []string{"history", "check", "--help"}},
	{"version", []string{"--version"}},
	{"check", []string{"check", "--config", goldenSettings}},
	{"check_policy", []string{"check", "--config", goldenSettings, "--policy", "../../deploy/policy.star"}},
	{"check_bad", []string{"check", "--config", "testdata/golden/bad.json"}},
	{"check_bad_policy", []string{"check", "--config", goldenSettings, "--policy", "testdata/golden/bad.star"}},
	{"check_absent", []string{"check", "--config", "testdata/golden/absent.json"}},
	{"no_config", []string{}},
	{"unknown_flag", []string{"--other"}},
	{"unknown_command", []string{"other"}},
	{"zones_hold_without_zone", []string{"zones", "hold"}},
}

// Operators and the platform that starts controllers depend on the commands' help, output, errors and exit codes, so
// a change of any of these must be deliberate. The test prints an error and derives the exit code as main does.
func TestCommandsOutputMatchesGoldenFiles(t *testing.T) {
	for _, c := range goldenCommands {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			cmd := rootCommand()
			cmd.SetOut(&out)
			cmd.SetErr(&out)
			cmd.SetArgs(c.args)
			code := 0
			if err := cmd.Execute(); err != nil {
				code = exitFailure
				if errors.Is(err, errUsage) {
					code = exitUsage
				}
				fmt.Fprintf(&out, "merlinlatch: %v\n", err)
			}
			fmt.Fprintf(&out, "exit code %d\n", code)
			path := filepath.Join("testdata", "golden", c.name+".txt")
			want, err := os.ReadFile(path)
			if errors.Is(err, fs.ErrNotExist) && *writeGolden {
				require.NoError(t, os.WriteFile(path, out.Bytes(), 0o644))
				return
			}
			require.NoError(t, err)
			require.Equal(t, string(want), out.String())
		})
	}
}
