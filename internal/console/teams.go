package console

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// teamRow is one team's row of the table, merged from the responses of all controllers.
type teamRow struct {
	status    peer.TeamStatus
	scheduler string  // host of the team's leader; empty when none of the controllers that answered leads the team
	share     float64 // fair share in CPUs, summed over the controllers that answered
	taken     float64 // what the team's tasks take, in CPUs, summed over the controllers that answered
	weight    float64
}

// fleetShares is the state of fair sharing, merged from the responses of all controllers.
type fleetShares struct {
	enabled  bool    // fair shares are on: a controller reported the share of a known team
	capacity float64 // CPUs of the machines of all partitions whose leader answered and has fair shares on
	yielded  uint64  // assignments that partition leaders rejected in favour of other teams
}

// Teams prints the state of all teams. If team is not empty, it prints only that team, with its moves.
func Teams(out io.Writer, settings *config.Settings, controllers []Controller, team string) error {
	rows := map[string]*teamRow{}
	for _, t := range settings.Params.Teams {
		rows[t.Name] = &teamRow{status: peer.TeamStatus{Team: t.Name}}
	}
	if team != "" && rows[team] == nil {
		return UnknownError{"team", team}
	}
	responses, missing, err := callAll[peer.TeamsResponse](controllers, "Teams", peer.TeamsRequest{})
	if err != nil {
		return err
	}
	shares := mergeTeams(rows, responses)
	writeTeams(out, sortedRows(rows, team), shares.enabled)
	if team != "" {
		writeMoves(out, &rows[team].status)
	}
	if shares.enabled {
		fmt.Fprintf(out, "shares are of %.0f CPUs; %d asks were refused in favour of other teams\n", shares.capacity, shares.yielded)
	} else {
		fmt.Fprintln(out, "fair shares are off")
	}
	writeMissing(out, missing, "; what they place and own is left out")
	return nil
}

// sortedRows returns the rows in the order of the teams' names. If team is not empty, it returns only that team's
// row.
func sortedRows(rows map[string]*teamRow, team string) []*teamRow {
	if team != "" {
		return []*teamRow{rows[team]}
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b *teamRow) int { return cmp.Compare(a.status.Team, b.status.Team) })
}

// mergeTeams merges the controllers' responses into the rows. Two controllers may report the same team while its
// leadership changes, so the status with the latest term counts. Shares are summed over the partition leaders.
func mergeTeams(rows map[string]*teamRow, responses []peer.TeamsResponse) (shares fleetShares) {
	for i := range responses {
		response := &responses[i]
		for _, status := range response.Teams {
			if r := rows[status.Team]; r != nil && (r.scheduler == "" || status.Term > r.status.Term) {
				r.status, r.scheduler = status, response.Host
			}
		}
		capacity := response.Capacity.CPUs()
		for _, standing := range response.Standings {
			if r := rows[standing.Team]; r != nil {
				shares.enabled = true
				r.share += standing.Share * capacity
				r.taken += standing.Taken * capacity
				r.weight = standing.Weight
			}
		}
		shares.capacity += capacity
		shares.yielded += response.Yielded
	}
	return shares
}

// writeTeams prints the table of teams. withShares adds the columns of the fair shares.
func writeTeams(out io.Writer, rows []*teamRow, withShares bool) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "TEAM\tPLACER\tCPUS\tGUARANTEE\tLIMIT\tJOBS\tRUNNING\tWAITING\tWAIT p50/p95/p99\tLATE p50/p95/p99")
	if withShares {
		fmt.Fprint(w, "\tWEIGHT\tSHARE\tTAKEN")
	}
	fmt.Fprintln(w)
	for _, r := range rows {
		s := &r.status
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%s\t%s\t%d\t%d\t%d\t%s\t%s", s.Team, orDash(r.scheduler), s.Used.CPUs(),
			formatCPUs(s.Guarantee), formatCPUs(s.Limit), s.Jobs, s.Running, s.Waiting,
			formatQuantiles(s.Waits), formatQuantiles(s.Lateness))
		if withShares {
			fmt.Fprintf(w, "\t%g\t%.1f\t%.1f", r.weight, r.share, r.taken)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
}

// writeMoves prints a team's latest moves, and for each reason how many moves were declined.
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

// formatCPUs formats a number of CPUs, or "none" for 0, which means that the team has no guarantee or limit.
func formatCPUs(a resources.Amounts) string {
	if a.CPU == 0 {
		return "none"
	}
	return fmt.Sprintf("%.1f", a.CPUs())
}

// formatQuantiles formats the median, the 95th and the 99th percentile in seconds, or "-" if nothing was recorded.
func formatQuantiles(q telemetry.Quantiles) string {
	if q.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f s", q.P50.Seconds(), q.P95.Seconds(), q.P99.Seconds())
}

// SchedulerOf returns the host of the controller that leads a team. If several controllers report that they lead it, the
// one with the latest term counts. SchedulerOf returns "" when none of the controllers that answer leads the team.
func SchedulerOf(controllers []Controller, team string) (host string) {
	responses, _, err := callAll[peer.TeamsResponse](controllers, "Teams", peer.TeamsRequest{})
	if err != nil {
		return ""
	}
	latest := uint64(0)
	for i := range responses {
		for _, status := range responses[i].Teams {
			if status.Team == team && status.Term >= latest {
				host, latest = responses[i].Host, status.Term
			}
		}
	}
	return host
}
