package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/console"
)

// operators gives the commands that ask running controllers over their cluster ports.
func operators(settings *string) []*cobra.Command {
	return []*cobra.Command{{
		Use:   "teams [TEAM]",
		Short: "Tell how the teams stand: shares, use, what waits and for how long",
		Long: "Asks all controllers that the settings name, over their cluster ports. Waits and lateness are\n" +
			"counted since the team's placer started.",
		Args: atMostOne,
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
	}}
}

func atMostOne(_ *cobra.Command, args []string) error {
	if len(args) > 1 {
		return fmt.Errorf("%wtoo many arguments; see --help", errUsage)
	}
	return nil
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
