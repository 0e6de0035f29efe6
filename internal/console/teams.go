package console

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// teamRow is what is told of one team.
type teamRow struct {
	status    peer.TeamStatus
	scheduler string  // empty where no controller that was reached places the team
	share     float64 // CPUs of the machines whose owners were reached
	taken     float64
	weight    float64
}

// Teams writes how the teams stand; of one team only where it is named.
func Teams(out io.Writer, set *config.Settings, controllers []Controller, team string) error {
	rows := map[string]*teamRow{}
	for _, t := range set.Params.Teams {
		rows[t.Name] = &teamRow{status: peer.TeamStatus{Team: t.Name}}
	}
	if team != "" && rows[team] == nil {
		return UnknownError{"team", team}
	}
	answers, missing, err := callAll[peer.TeamsResponse](controllers, "Teams", peer.TeamsRequest{})
	if err != nil {
		return err
	}
	capacity, shared, yielded := mergeTeams(rows, answers)
	var list []*teamRow
	for name, r := range rows {
		if team == "" || team == name {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *teamRow) int { return cmp.Compare(a.status.Team, b.status.Team) })
	writeTeams(out, list, shared)
	if team != "" {
		writeMoves(out, &list[0].status)
	}
	if shared {
		fmt.Fprintf(out, "shares are of %.0f CPUs; %d asks were refused in favour of other teams\n", capacity, yielded)
	} else {
		fmt.Fprintln(out, "fair shares are off")
	}
	if len(missing) > 0 {
		fmt.Fprintf(out, "not reached: %s; what they place and own is left out\n", strings.Join(missing, ", "))
	}
	return nil
}

// mergeTeams joins the controllers' answers: a team's numbers are its placer's of the latest term,
// its shares are summed over the owners.
func mergeTeams(rows map[string]*teamRow, answers []peer.TeamsResponse) (capacity float64, shared bool, yielded uint64) {
	for i := range answers {
		a := &answers[i]
		for _, s := range a.Teams {
			if r := rows[s.Team]; r != nil && (r.scheduler == "" || s.Term > r.status.Term) {
				r.status, r.scheduler = s, a.Host
			}
		}
		own := a.Capacity.CPUs()
		for _, s := range a.Standings {
			if r := rows[s.Team]; r != nil {
				shared = true
				r.share += s.Share * own
				r.taken += s.Taken * own
				r.weight = s.Weight
			}
		}
		capacity += own
		yielded += a.Yielded
	}
	return capacity, shared, yielded
}

func writeTeams(out io.Writer, list []*teamRow, shared bool) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "TEAM\tPLACER\tCPUS\tGUARANTEE\tLIMIT\tJOBS\tRUNNING\tWAITING\tWAIT p50/p95/p99\tLATE p50/p95/p99")
	if shared {
		fmt.Fprint(w, "\tWEIGHT\tSHARE\tTAKEN")
	}
	fmt.Fprintln(w)
	for _, r := range list {
		s := &r.status
		placer := r.scheduler
		if placer == "" {
			placer = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%s\t%s\t%d\t%d\t%d\t%s\t%s", s.Team, placer, s.Used.CPUs(), formatCPUs(s.Guarantee), formatCPUs(s.Limit),
			s.Jobs, s.Running, s.Waiting, formatQuantiles(s.Waits), formatQuantiles(s.Lateness))
		if shared {
			fmt.Fprintf(w, "\t%g\t%.1f\t%.1f", r.weight, r.share, r.taken)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
}

// writeMoves writes a team's latest moves, and why others were not made.
func writeMoves(out io.Writer, s *peer.TeamStatus) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i := range s.Moves {
		m := &s.Moves[i]
		fmt.Fprintf(w, "move\t%s\t%s -> %s\t%s\tgain %.1f s, cost %.1f s\t%.0f s ago\t%s\n", m.Task, m.From, m.To, m.Reason,
			m.Gain.Seconds(), m.Cost.Seconds(), m.Ago.Seconds(), m.Outcome)
	}
	for _, u := range s.Unmoved {
		fmt.Fprintf(w, "not moved\t%d times\t%s\n", u.Count, u.Why)
	}
	w.Flush()
}

// formatCPUs writes an formatCPUs of CPUs of which 0 means none.
func formatCPUs(a resources.Amounts) string {
	if a.CPU == 0 {
		return "none"
	}
	return fmt.Sprintf("%.1f", a.CPUs())
}

func formatQuantiles(q telemetry.Quantiles) string {
	if q.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f s", q.P50.Seconds(), q.P95.Seconds(), q.P99.Seconds())
}

// SchedulerOf names the controller that places a team under the latest term, empty where none
// that is reached does.
func SchedulerOf(controllers []Controller, team string) (host string) {
	answers, _, err := callAll[peer.TeamsResponse](controllers, "Teams", peer.TeamsRequest{})
	if err != nil {
		return ""
	}
	latest := uint64(0)
	for i := range answers {
		for _, s := range answers[i].Teams {
			if s.Team == team && s.Term >= latest {
				host, latest = answers[i].Host, s.Term
			}
		}
	}
	return host
}
