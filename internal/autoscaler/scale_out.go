package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	// initialWindow is how many requests for a kind are sent at a time at first.
	initialWindow = 2
	// unknownOutcomeBackoff is how long a kind is not requested after a request without a usable
	// response: the instances may have been granted, and the list shows them by then.
	unknownOutcomeBackoff = 3 * clock.Second
	// maxRequestsPerRPS is how many scale-out requests are sent at a time, for each request a second
	// that the cloud admits: two seconds of the budget (cloudBudgetShare), well below cloudCallTimeout.
	maxRequestsPerRPS = 1.6
	// maxScaleOutPasses bounds how often a step plans anew for what the cloud has refused.
	maxScaleOutPasses = 4
)

// requestPacer decides how many scale-out requests are sent at a time, and for how long a kind of
// instance is not requested. Plain code; the goroutine of Autoscaler.Run owns it.
type requestPacer struct {
	backoff      clock.Micros // how long a kind that was refused is not requested
	maxRequests  int          // at a time, of all kinds
	window       map[InstanceKind]int
	refusedUntil map[InstanceKind]clock.Micros
}

// reset forgets all responses, for a new term.
func (p *requestPacer) reset() {
	p.window = map[InstanceKind]int{}
	p.refusedUntil = map[InstanceKind]clock.Micros{}
}

// selectRequests picks the requests to send now: of a kind that gave less than was
// requested, one; of one that gave all, twice as many as the last time. So what
// the cloud has not got costs few calls, and what it has comes in a few steps.
func (p *requestPacer) selectRequests(planned []ScaleOut) []ScaleOut {
	var selected []ScaleOut
	ofKind := map[InstanceKind]int{}
	for _, r := range planned {
		if p.window[r.InstanceKind] == 0 {
			p.window[r.InstanceKind] = initialWindow
		}
		if ofKind[r.InstanceKind] < p.window[r.InstanceKind] && len(selected) < p.maxRequests {
			ofKind[r.InstanceKind]++
			selected = append(selected, r)
		}
	}
	return selected
}

// growWindows doubles the windows of all kinds of which requests were sent.
func (p *requestPacer) growWindows(sent []ScaleOut) {
	grown := map[InstanceKind]bool{}
	for _, r := range sent {
		if !grown[r.InstanceKind] {
			grown[r.InstanceKind] = true
			p.window[r.InstanceKind] = min(2*p.window[r.InstanceKind], p.maxRequests)
		}
	}
}

// observeResponse takes the outcome of a request that was sent at sent.
func (p *requestPacer) observeResponse(r ScaleOut, granted int, err error, sent clock.Micros) {
	switch {
	case errors.Is(err, errNoCapacity) || err == nil && granted < r.Count:
		p.refusedUntil[r.InstanceKind], p.window[r.InstanceKind] = sent+p.backoff, 1
	case err != nil && p.refusedUntil[r.InstanceKind] < sent:
		p.refusedUntil[r.InstanceKind] = sent + unknownOutcomeBackoff
	}
}

// scaleOut sends the planned requests. What one kind could not give is planned anew and requested
// of the next one in the same step. It reports whether the leadership was still held.
func (a *Autoscaler) scaleOut(ctx context.Context, in Input, planned []ScaleOut) (leading bool) {
	for pass := 0; pass < maxScaleOutPasses && len(planned) > 0; pass++ {
		if !a.stillLeading() {
			return false
		}
		if !a.requestScaleOut(ctx, a.pacer.selectRequests(planned)) {
			return true
		}
		in.Now = a.clock.Now()
		planned, _ = Plan(in)
	}
	return true
}

// requestScaleOut sends scale-out requests, all at the same time, and reports whether fewer instances were
// granted than requested. A request's name, of the term and a counter, is never used again: the
// cloud takes each name once (docs/design.md, "Why the rules hold", 12).
func (a *Autoscaler) requestScaleOut(ctx context.Context, requests []ScaleOut) (short bool) {
	sent := a.clock.Now()
	granted := make([]wire.HostList, len(requests))
	errs := make([]error, len(requests))
	var wg sync.WaitGroup
	for i, r := range requests {
		a.requestCounter++
		req := wire.ScaleOutRequest{
			Name:  fmt.Sprintf("r-%d-%d", a.term, a.requestCounter),
			Type:  r.Type,
			Zone:  r.Zone,
			Spot:  r.Spot,
			Count: r.Count,
		}
		wg.Go(func() { errs[i] = a.cloud.call(ctx, http.MethodPost, wire.PathInstances, req, &granted[i]) })
	}
	wg.Wait()
	a.pacer.growWindows(requests)
	for i, r := range requests {
		ids, err := granted[i].Hosts, errs[i]
		a.log.Info("scale-out requested", "type", r.Type, "zone", r.Zone, "spot", r.Spot,
			"requested", r.Count, "granted", len(ids), "error", err)
		a.pacer.observeResponse(r, len(ids), err, sent)
		a.list.addRequested(r.InstanceKind, ids, sent)
		short = short || len(ids) < r.Count
	}
	return short
}
