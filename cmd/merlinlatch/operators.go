package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/console"
)

// operators gives the commands that ask running controllers over their cluster ports.
func operators(settings *string) []*cobra.Command {
	return []*cobra.Command{teamsCommand(settings), zonesCommand(settings), historyCommand(settings)}
}

func teamsCommand(settings *string) *cobra.Command {
	return &cobra.Command{
		Use:   "teams [TEAM]",
		Short: "Tell how the teams stand: shares, use, what waits and for how long",
		Long: "Asks all controllers that the settings name, over their cluster ports. Waits and lateness are\n" +
			"counted since the team's placer started.",
		Args: arguments(0, 1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := readSettings(*settings)
			if err != nil {
				return err
			}
			team := ""
			if len(args) == 1 {
				team = args[0]
			}
			return console.Teams(cmd.OutOrStdout(), set, console.Controllers(set), team)
		},
	}
}

func zonesCommand(settings *string) *cobra.Command {
	zones := &cobra.Command{
		Use:   "zones",
		Short: "Tell in which state the zones are, and what waits while work returns to one",
		Args:  arguments(0, 0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := readSettings(*settings)
			if err != nil {
				return err
			}
			return console.Zones(cmd.OutOrStdout(), console.Controllers(set))
		},
	}
	hold := func(use, short string, held bool) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: arguments(1, 1), RunE: func(cmd *cobra.Command, args []string) error {
			set, err := readSettings(*settings)
			if err != nil {
				return err
			}
			return console.HoldZone(cmd.OutOrStdout(), set, console.Controllers(set), args[0], held)
		}}
	}
	zones.AddCommand(hold("hold ZONE", "Stop the return of work to a zone at its stage", true),
		hold("resume ZONE", "Let the return of work to a zone go on", false))
	return zones
}

// defaultSkewMS is by how much the clocks of controllers are taken to differ.
const defaultSkewMS = 1000

func historyCommand(settings *string) *cobra.Command {
	cmd := &cobra.Command{Use: "history", Short: "What the controllers have seen happen"}
	cmd.AddCommand(&cobra.Command{
		Use:   "export FILE",
		Short: "Gather the history of all controllers that are reached into one Parquet file",
		Args:  arguments(1, 1),
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := readSettings(*settings)
			if err != nil {
				return err
			}
			return console.ExportHistory(cmd.OutOrStdout(), console.Controllers(set), args[0])
		},
	})
	skew := int64(0)
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Hold the rules against an exported history: no task on two machines, one end for each job",
		Args:  arguments(1, 1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return console.CheckHistory(cmd.OutOrStdout(), args[0], skew)
		},
	}
	check.Flags().Int64Var(&skew, "skew-ms", defaultSkewMS, "by how much the controllers' clocks may differ")
	cmd.AddCommand(check)
	return cmd
}

// arguments checks how many arguments a command is given.
func arguments(least, most int) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) < least || len(args) > most {
			return fmt.Errorf("%wwrong number of arguments; see --help", errUsage)
		}
		return nil
	}
}

func readSettings(path string) (*config.Settings, error) {
	if path == "" {
		return nil, fmt.Errorf("%w--config FILE is needed; see --help", errUsage)
	}
	set, err := config.Load(path)
	if err != nil {
		return nil, fmt.Errorf("%w%w", errUsage, err)
	}
	return set, nil
}
