// Command loopback plays bounded runs of the built program on this machine's loopback addresses, with fakes for
// the services, the workers and the users.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/merlinlatch/merlinlatch/internal/loopback"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "loopback:", err)
		os.Exit(1)
	}
}

// defaultProgram is where the build puts the program.
const defaultProgram = "target/merlinlatch"

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "loopback",
		Short:         "Bounded runs of the real program on this machine",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(hotTeamsCommand(), zoneReturnCommand())
	return cmd
}

func hotTeamsCommand() *cobra.Command {
	run := loopback.HotTeams{}
	failure := ""
	cmd := &cobra.Command{
		Use:   "hot-teams",
		Short: "Pairs of runs without and with one team's burst, fair shares off and on",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			run.Failure = loopback.Failure(failure)
			return run.Run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&run.Program, "program", defaultProgram, "the built program")
	cmd.Flags().IntVar(&run.Seeds, "seeds", 1, "how many seeds; each takes some two minutes")
	cmd.Flags().StringVar(&failure, "failure", string(loopback.NoFailure), "in the middle: none, placer or owner")
	return cmd
}

func zoneReturnCommand() *cobra.Command {
	run := loopback.ZoneReturn{}
	cmd := &cobra.Command{
		Use:   "zone-return",
		Short: "Runs in which one of two zones is cut off and joined again, zone return off and on",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return run.Run(cmd.Context(), cmd.OutOrStdout()) },
	}
	cmd.Flags().StringVar(&run.Program, "program", defaultProgram, "the built program")
	cmd.Flags().IntVar(&run.Seeds, "seeds", 1, "how many seeds; each takes some four minutes")
	return cmd
}
