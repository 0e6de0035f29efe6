package partition

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// A state changes often while one or many controllers poll. Their polls must be answered together, once per
// publication interval, and show the last change in the end; otherwise the processes would be woken for every change.
func TestPollsAreAnsweredTogether(t *testing.T) {
	for _, pollers := range []int{1, 8} {
		synctest.Test(t, func(t *testing.T) {
			const span = 6 * time.Second
			l := newLoadedServer(t, 4)
			time.Sleep(time.Second) // until the changes of the setup are published
			answerTimes := map[time.Time]int{}
			answers := make(chan time.Time, 10_000)
			finalCursors := make(chan uint64, pollers)
			end := time.Now().Add(span)
			for range pollers {
				go func() {
					cursor := l.poll(0).Cursor
					for time.Now().Before(end) {
						cursor = l.server.HandlePoll(peer.PollRequest{Incarnation: "incarnation", Cursor: cursor, Wait: sec}).Cursor
						answers <- time.Now()
					}
					finalCursors <- cursor
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
				answerTimes[<-answers]++
			}
			interval := publicationInterval(4, pollers).Duration()
			require.LessOrEqual(t, len(answerTimes), int(span/interval)+3, "polls are answered at least one interval apart")
			require.Greater(t, len(answerTimes), int(span/(2*interval)), "polls are answered less than two intervals apart on average")
			for range pollers {
				cursor := <-finalCursors
				l.server.mu.Lock()
				require.Equal(t, l.server.state.Version(), cursor)
				l.server.mu.Unlock()
			}
		})
	}
}
