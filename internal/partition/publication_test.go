package partition

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// However often a state changes and however many controllers poll, their polls are answered together, an interval
// apart, and each shows the last change.
func TestPollsAreAnsweredTogether(t *testing.T) {
	for _, askers := range []int{1, 8} {
		synctest.Test(t, func(t *testing.T) {
			const span = 6 * time.Second
			l := newLoadedServer(t, 4)
			time.Sleep(time.Second) // what was new at first is published
			moments := map[time.Time]int{}
			answers := make(chan time.Time, 10_000)
			last := make(chan uint64, askers)
			end := time.Now().Add(span)
			for range askers {
				go func() {
					cursor := l.poll(0).Cursor
					for time.Now().Before(end) {
						cursor = l.server.HandlePoll(peer.PollRequest{Incarnation: "incarnation", Cursor: cursor, Wait: sec}).Cursor
						answers <- time.Now()
					}
					last <- cursor
				}()
			}
			for time.Now().Before(end.Add(-100 * time.Millisecond)) {
				time.Sleep(3 * time.Millisecond)
				l.server.mu.Lock()
				l.server.state.markChanged(l.server.state.machines["m-000000"])
				l.server.notifyChange()
				l.server.mu.Unlock()
			}
			time.Sleep(3 * time.Second)
			for len(answers) > 0 {
				moments[<-answers]++
			}
			gap := publicationInterval(4, askers).Duration()
			require.LessOrEqual(t, len(moments), int(span/gap)+3, "answers are an interval apart")
			require.Greater(t, len(moments), int(span/(2*gap)), "and not more than an interval")
			for range askers {
				cursor := <-last
				l.server.mu.Lock()
				require.Equal(t, l.server.state.Version(), cursor)
				l.server.mu.Unlock()
			}
		})
	}
}
