package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/console"
)

// operatorCommands returns the commands that call running controllers over their cluster ports.
func operatorCommands(opts *options) []*cobra.Command {
	return []*cobra.Command{teamsCommand(opts), zonesCommand(opts), historyCommand(opts)}
}

// withSettings returns a function for a command's RunE that loads the settings and passes them to run.
func (o *options) withSettings(
	run func(out io.Writer, settings *config.Settings, args []string) error,
) func(cmd *cobra.Command, args []string) error {
	return func(cmd *cobra.Command, args []string) error {
		settings, err := o.loadSettings()
		if err != nil {
			return err
		}
		return run(cmd.OutOrStdout(), settings, args)
	}
}

func teamsCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "teams [TEAM]",
		Short: "Tell how the teams stand: shares, use, what waits and for how long",
		Long: "Asks all controllers that the settings name, over their cluster ports. Waits and lateness are\n" +
			"counted since the team's placer started.",
		Args: argumentCount(0, 1),
		RunE: opts.withSettings(func(out io.Writer, settings *config.Settings, args []string) error {
			team := ""
			if len(args) == 1 {
				team = args[0]
			}
			return console.Teams(out, settings, console.Controllers(settings), team)
		}),
	}
}

func zonesCommand(opts *options) *cobra.Command {
	zones := &cobra.Command{
		Use:   "zones",
		Short: "Tell in which state the zones are, and what waits while work returns to one",
		Args:  argumentCount(0, 0),
		RunE: opts.withSettings(func(out io.Writer, settings *config.Settings, _ []string) error {
			return console.Zones(out, console.Controllers(settings))
		}),
	}
	zones.AddCommand(
		zoneHoldCommand(opts, "hold ZONE", "Stop the return of work to a zone at its stage", true),
		zoneHoldCommand(opts, "resume ZONE", "Let the return of work to a zone go on", false),
	)
	return zones
}

// zoneHoldCommand returns the command that holds the return of work to a zone at its present stage, if held is true, or
// else the command that resumes it.
func zoneHoldCommand(opts *options, use, short string, held bool) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  argumentCount(1, 1),
		RunE: opts.withSettings(func(out io.Writer, settings *config.Settings, args []string) error {
			return console.HoldZone(out, settings, console.Controllers(settings), args[0], held)
		}),
	}
}

// defaultSkewMS is the assumed maximum difference between the controllers' clocks, in milliseconds.
const defaultSkewMS = 1000

func historyCommand(opts *options) *cobra.Command {
	cmd := &cobra.Command{Use: "history", Short: "What the controllers have seen happen"}
	cmd.AddCommand(historyExportCommand(opts), historyCheckCommand())
	return cmd
}

func historyExportCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "export FILE",
		Short: "Gather the history of all controllers that are reached into one Parquet file",
		Args:  argumentCount(1, 1),
		RunE: opts.withSettings(func(out io.Writer, settings *config.Settings, args []string) error {
			return console.ExportHistory(out, console.Controllers(settings), args[0])
		}),
	}
}

func historyCheckCommand() *cobra.Command {
	skewMS := int64(0)
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Hold the rules against an exported history: no task on two machines, one end for each job",
		Args:  argumentCount(1, 1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return console.CheckHistory(cmd.OutOrStdout(), args[0], skewMS)
		},
	}
	cmd.Flags().Int64Var(&skewMS, "skew-ms", defaultSkewMS, "by how much the controllers' clocks may differ")
	return cmd
}

// argumentCount returns a check that fails with errUsage unless a command gets minimum to maximum arguments.
func argumentCount(minimum, maximum int) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) < minimum || len(args) > maximum {
			return fmt.Errorf("%wwrong number of arguments; see --help", errUsage)
		}
		return nil
	}
}
