// Command merlinlatch is a controller of a merlinlatch cluster.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/controller"
	"github.com/merlinlatch/merlinlatch/internal/policy"
)

// version is the release; see CHANGELOG.md.
const version = "0.1.0"

// errUsage marks mistakes of the operator, which end the program with code 2.
var errUsage = errors.New("")

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "merlinlatch:", strings.TrimSuffix(err.Error(), "\n"))
		if errors.Is(err, errUsage) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func root() *cobra.Command {
	var settings, script string
	cmd := &cobra.Command{
		Use:           "merlinlatch --config FILE",
		Short:         "A cluster scheduler: takes jobs, rents machines, runs tasks",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, knobs, err := load(settings, script)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), set, knobs)
		},
	}
	cmd.PersistentFlags().StringVar(&settings, "config", "", "settings file of the platform (JSON)")
	cmd.PersistentFlags().StringVar(&script, "policy", "", "the operators' own settings, a Starlark script")
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w%w", errUsage, err) })
	cmd.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings and the policy script, and end",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, knobs, err := load(settings, script)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "settings of %s are good: %d peers, %d teams; policy: %s\n",
				set.Host, len(set.Peers), len(set.Params.Teams), knobs)
			return nil
		},
	})
	cmd.AddCommand(operators(&settings)...)
	return cmd
}

func load(settings, script string) (*config.Settings, *policy.Parameters, error) {
	set, err := readSettings(settings)
	if err != nil {
		return nil, nil, err
	}
	knobs, err := policy.Load(script, set)
	if err != nil {
		return nil, nil, fmt.Errorf("%w%w", errUsage, err)
	}
	return set, knobs, nil
}

func logger() (*slog.Logger, error) {
	level := slog.LevelInfo
	switch v := os.Getenv("LOG_LEVEL"); v {
	case "", "info":
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	default:
		return nil, fmt.Errorf("%wLOG_LEVEL: %q is none of error, info, debug", errUsage, v)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

func serve(ctx context.Context, set *config.Settings, knobs *policy.Parameters) error {
	log, err := logger()
	if err != nil {
		return err
	}
	if ctx == nil {
		ctx = context.Background()
	}
	for _, r := range knobs.Renamed {
		log.Info("a knob of the policy script has a new name", "old", r.Old, "new", r.New)
	}
	// A controller has a small share of one core: more threads only cost switches.
	runtime.GOMAXPROCS(1)
	// Live data are a small part of the memory: collecting seldom costs less time,
	// and the limit makes it collect more often when there is need.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(set.Params.Limits.MemoryMB * 0.6 * (1 << 20)))
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = controller.New(set, knobs, log.With("host", set.Host)).Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
