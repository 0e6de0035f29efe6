// Command merlinlatch runs a controller of a merlinlatch cluster, and provides the operators' commands.
//
// Without a subcommand it runs a controller (rootCommand). The operators' commands (operatorCommands) call running
// controllers. Exit codes: 0 for success, 2 for invalid flags, settings, policy script or LOG_LEVEL and for a wrong
// number of arguments of an operators' command (errUsage), 1 for any other failure.
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

// version is the number of this release; CHANGELOG.md lists the releases.
const version = "0.1.0"

// errUsage marks errors that the operator has to correct: invalid flags, settings, policy script or LOG_LEVEL, and a wrong
// number of arguments of an operators' command. The program then exits with exitUsage. Its text is empty, so that wrapping
// it does not change an error's message.
var errUsage = errors.New("")

// Exit codes of a program that did not succeed.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "merlinlatch:", strings.TrimSuffix(err.Error(), "\n"))
		if errors.Is(err, errUsage) {
			os.Exit(exitUsage)
		}
		os.Exit(exitFailure)
	}
}

// options holds the flags that all commands accept.
type options struct {
	settingsPath string
	policyPath   string
}

// rootCommand returns the command that runs a controller. All other commands are its subcommands.
func rootCommand() *cobra.Command {
	var opts options
	cmd := &cobra.Command{
		Use:           "merlinlatch --config FILE",
		Short:         "A cluster scheduler: takes jobs, rents machines, runs tasks",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, parameters, err := opts.load()
			if err != nil {
				return err
			}
			return runController(cmd.Context(), settings, parameters)
		},
	}
	cmd.PersistentFlags().StringVar(&opts.settingsPath, "config", "", "settings file of the platform (JSON)")
	cmd.PersistentFlags().StringVar(&opts.policyPath, "policy", "", "the operators' own settings, a Starlark script")
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w%w", errUsage, err) })
	cmd.AddCommand(checkCommand(&opts))
	cmd.AddCommand(operatorCommands(&opts)...)
	return cmd
}

// checkCommand returns the command that checks the settings and the policy script without starting a controller.
func checkCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Check the settings and the policy script, and end",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, parameters, err := opts.load()
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "settings of %s are good: %d peers, %d teams; policy: %s\n",
				settings.Host, len(settings.Peers), len(settings.Params.Teams), parameters)
			return nil
		},
	}
}

// load reads and checks the settings and the policy script. Its errors wrap errUsage.
func (o *options) load() (*config.Settings, *policy.Parameters, error) {
	settings, err := o.loadSettings()
	if err != nil {
		return nil, nil, err
	}
	parameters, err := policy.Load(o.policyPath, settings)
	if err != nil {
		return nil, nil, fmt.Errorf("%w%w", errUsage, err)
	}
	return settings, parameters, nil
}

// loadSettings reads and checks the settings. Its errors wrap errUsage.
func (o *options) loadSettings() (*config.Settings, error) {
	if o.settingsPath == "" {
		return nil, fmt.Errorf("%w--config FILE is needed; see --help", errUsage)
	}
	settings, err := config.Load(o.settingsPath)
	if err != nil {
		return nil, fmt.Errorf("%w%w", errUsage, err)
	}
	return settings, nil
}

// newLogger returns a logger that writes to standard error. The environment variable LOG_LEVEL sets its level, info
// by default.
func newLogger() (*slog.Logger, error) {
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

const (
	// gcPercent lets the heap grow to five times the live data before a garbage collection, which saves processor
	// time. Live data take a small part of the memory, and the runtime's memory limit makes the collector run more
	// often when the memory becomes scarce.
	gcPercent = 400
	// memoryLimitShare is the part of the process's memory limit that is set as the Go runtime's soft memory limit.
	memoryLimitShare = 0.6
	// maxProcs is the number of threads that run Go code at a time. A controller gets a small share of one core only,
	// so more threads would only add context switches.
	maxProcs = 1
)

// runController runs a controller until it fails, ctx ends or the process receives SIGINT or SIGTERM.
func runController(ctx context.Context, settings *config.Settings, parameters *policy.Parameters) error {
	log, err := newLogger()
	if err != nil {
		return err
	}
	if ctx == nil {
		ctx = context.Background()
	}
	for _, r := range parameters.Renamed {
		log.Warn("policy parameter renamed", "old", r.Old, "new", r.New)
	}
	runtime.GOMAXPROCS(maxProcs)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(settings.Params.Limits.MemoryMB * memoryLimitShare * (1 << 20)))
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = controller.New(settings, parameters, log.With("controller", settings.Host)).Run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
