package partition

import (
	"container/list"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/telemetry"
)

// lines are the connections to workers' own addresses. Each machine has one at
// most, and all of them together stay below a bound: a controller that is left
// alone with a fleet has the workers' reports to hold as well. The one used
// longest ago makes room for another.
type lines struct {
	most int
	of   map[string]*workerLine
	idle *list.List // of machines, the one used longest ago first
	full bool       // a delivery had to wait

	traffic *telemetry.Traffic
}

type workerLine struct {
	client *httpx.Client
	idle   *list.Element // nil while a delivery has it
}

func newLines(most int, traffic *telemetry.Traffic) *lines {
	return &lines{most: most, traffic: traffic, of: map[string]*workerLine{}, idle: list.New()}
}

// room tells whether a delivery may start for a machine now.
func (l *lines) room(id string) bool {
	ok := len(l.of) < l.most || l.idle.Len() > 0 || l.of[id] != nil
	l.full = l.full || !ok
	return ok
}

// take gives a machine's line to a delivery.
func (l *lines) take(id, addr string) *httpx.Client {
	w := l.of[id]
	if w != nil && w.client.Addr() != addr {
		l.drop(id)
		w = nil
	}
	if w == nil {
		if len(l.of) >= l.most && l.idle.Len() > 0 {
			l.drop(l.idle.Front().Value.(string))
		}
		w = &workerLine{client: httpx.NewClient(addr, 1, 256<<10)}
		w.client.Count(l.traffic)
		l.of[id] = w
	}
	if w.idle != nil {
		l.idle.Remove(w.idle)
		w.idle = nil
	}
	return w.client
}

// put takes a line back from its delivery, and tells whether others wait for one.
func (l *lines) put(id string, c *httpx.Client) (wanted bool) {
	if w := l.of[id]; w != nil && w.client == c {
		w.idle = l.idle.PushBack(id)
	} else {
		c.Close() // dropped in the meantime
	}
	wanted, l.full = l.full, false
	return wanted
}

// keep closes the lines of machines that are no longer here.
func (l *lines) keep(here func(id string) bool) {
	for id := range l.of {
		if !here(id) {
			l.drop(id)
		}
	}
}

func (l *lines) drop(id string) {
	w := l.of[id]
	if w.idle != nil {
		l.idle.Remove(w.idle)
	}
	w.client.Close()
	delete(l.of, id)
}
