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
	// initialWindow is the number of concurrent requests for a kind of instance at the start of a term.
	initialWindow = 2
	// unknownOutcomeBackoff is how long a kind is not requested after a request without a usable response. The
	// instances may have been granted all the same, and the list may show them by then.
	unknownOutcomeBackoff = 3 * clock.Second
	// maxRequestsPerRPS is the number of concurrent scale-out requests for each request per second that the
	// cloud permits. The client sends cloudBudgetShare (0.8) of the permitted rate, so that this is what it
	// sends in two seconds, well below cloudCallTimeout.
	maxRequestsPerRPS = 1.6
	// maxScaleOutPasses bounds how often a step plans and sends requests. Each pass after the first one requests
	// other kinds in place of those that the cloud refused.
	maxScaleOutPasses = 4
)

// requestPacer decides how many scale-out requests are sent at a time, and how long a kind of instance is not
// requested after a refusal. It does no I/O. The goroutine of Autoscaler.Run owns it.
type requestPacer struct {
	backoff      clock.Micros                  // how long a kind is not requested after a refusal
	maxRequests  int                           // bound on the concurrent requests for all kinds together
	windows      map[InstanceKind]int          // number of concurrent requests for each kind
	refusedUntil map[InstanceKind]clock.Micros // until when a kind is not requested
}

// reset discards the outcome of all requests, at the start of a term.
func (p *requestPacer) reset() {
	p.windows = map[InstanceKind]int{}
	p.refusedUntil = map[InstanceKind]clock.Micros{}
}

// selectRequests returns the planned requests to send now, within the window of each kind. The window of a kind
// doubles each time requests for it are sent, and falls to one request when the cloud grants less than requested. So a kind
// without capacity costs few calls, and any number of available instances is requested within a few steps.
func (p *requestPacer) selectRequests(planned []ScaleOut) []ScaleOut {
	var selected []ScaleOut
	ofKind := map[InstanceKind]int{}
	for _, r := range planned {
		if p.windows[r.InstanceKind] == 0 {
			p.windows[r.InstanceKind] = initialWindow
		}
		if ofKind[r.InstanceKind] < p.windows[r.InstanceKind] && len(selected) < p.maxRequests {
			ofKind[r.InstanceKind]++
			selected = append(selected, r)
		}
	}
	return selected
}

// growWindows doubles the window of each kind for which requests were sent. observeResponse reduces it again
// after a refusal or a partial grant.
func (p *requestPacer) growWindows(sent []ScaleOut) {
	grown := map[InstanceKind]bool{}
	for _, r := range sent {
		if !grown[r.InstanceKind] {
			grown[r.InstanceKind] = true
			p.windows[r.InstanceKind] = min(2*p.windows[r.InstanceKind], p.maxRequests)
		}
	}
}

// observeResponse updates the window and the backoff of a kind by the outcome of a request that was sent at sent.
// After a refusal or a partial grant the kind is not requested for the backoff. After an error that leaves
// the outcome unknown it is not requested for unknownOutcomeBackoff.
func (p *requestPacer) observeResponse(r ScaleOut, granted int, err error, sent clock.Micros) {
	switch {
	case errors.Is(err, errNoCapacity) || err == nil && granted < r.Count:
		p.refusedUntil[r.InstanceKind], p.windows[r.InstanceKind] = sent+p.backoff, 1
	case err != nil && p.refusedUntil[r.InstanceKind] < sent:
		p.refusedUntil[r.InstanceKind] = sent + unknownOutcomeBackoff
	}
}

// scaleOut sends the planned requests. If the cloud grants less than was requested, scaleOut plans again and
// requests other kinds in the same step. It returns false if it stopped because this controller lost the leadership.
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

// requestScaleOut sends scale-out requests concurrently, and reports whether fewer instances were granted than
// requested. Each request is named by the term and a counter, so that no name is ever used again. The cloud treats a
// request with a known name as a repetition and answers it with the former response, so that a request with a used name
// would get no new instances (docs/design.md, "Why the rules hold", number 12).
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
		a.instanceList.addGranted(r.InstanceKind, ids, sent)
		short = short || len(ids) < r.Count
	}
	return short
}
