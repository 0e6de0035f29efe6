// Command loopback runs the built program for a limited time on this machine's loopback addresses, for measurements.
// The services, the workers and the users are fakes; see package loopback.
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
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "loopback:", err)
		os.Exit(1)
	}
}

// defaultProgram is the path at which the build puts the program.
const defaultProgram = "target/merlinlatch"

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "loopback",
		Short:         "Bounded runs of the real program on this machine",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(hotTeamsCommand(), zoneReturnCommand(), copiesCommand())
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
	cmd.Flags().StringVar(&failure, "failure", string(loopback.NoFailure), "failure in the middle of each run: none, placer or owner")
	return cmd
}

func copiesCommand() *cobra.Command {
	run := loopback.CopiedMessages{}
	cmd := &cobra.Command{
		Use:   "copies",
		Short: "Runs in which answered messages arrive once more, while controllers end and return at once",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return run.Run(cmd.Context(), cmd.OutOrStdout()) },
	}
	cmd.Flags().StringVar(&run.Program, "program", defaultProgram, "the built program")
	cmd.Flags().IntVar(&run.Seeds, "seeds", 1, "how many seeds; each takes some two minutes")
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
