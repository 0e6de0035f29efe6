// Command loopback plays bounded runs of the built program on this machine's loopback
// addresses, with stand-ins for all that is around it.
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

func root() *cobra.Command {
	cmd := &cobra.Command{Use: "loopback", Short: "Bounded runs of the real program on this machine", SilenceUsage: true, SilenceErrors: true}
	h := loopback.HotTeams{}
	failure := ""
	hot := &cobra.Command{
		Use:   "hot-teams",
		Short: "Pairs of runs without and with one team's burst, fair shares off and on",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			h.Failure = loopback.Failure(failure)
			return h.Run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	hot.Flags().StringVar(&h.Program, "program", "target/merlinlatch", "the built program")
	hot.Flags().IntVar(&h.Seeds, "seeds", 1, "how many seeds; each takes some two minutes")
	hot.Flags().StringVar(&failure, "failure", string(loopback.NoFailure), "in the middle: none, placer or owner")
	z := loopback.ZoneReturn{}
	zones := &cobra.Command{
		Use:   "zone-return",
		Short: "Runs in which one of two zones is cut off and joined again, zone return off and on",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return z.Run(cmd.Context(), cmd.OutOrStdout()) },
	}
	zones.Flags().StringVar(&z.Program, "program", "target/merlinlatch", "the built program")
	zones.Flags().IntVar(&z.Seeds, "seeds", 1, "how many seeds; each takes some four minutes")
	cmd.AddCommand(hot, zones)
	return cmd
}
