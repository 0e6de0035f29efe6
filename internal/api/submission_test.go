package api

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
)

// Users repeat a submission when they get no answer. The repeat must be answered with the job's state and not
// accept the job a second time.
func TestSubmissionIsAcceptedOnce(t *testing.T) {
	f := newAPIFixture(t)
	require.Equal(t, 404, f.status().Status)
	r := f.submit(validJob)
	require.Equal(t, 201, r.Status)
	require.JSONEq(t, `{"id":"job-000412","phase":"pending"}`, string(r.Body))
	require.Equal(t, 200, f.submit(validJob).Status, "a retry at a controller whose cache does not show the job yet")
	require.Equal(t, 200, f.status().Status)
}

// When the store carries out the write but its response is lost, the user gets 503 with a Retry-After header. The
// retry must find the job accepted.
func TestSubmissionWithLostStoreResponseIsFoundOnRetry(t *testing.T) {
	f := newAPIFixture(t)
	f.store.SetDropResponses(true)
	r := f.submit(validJob)
	require.Equal(t, 503, r.Status)
	require.Equal(t, 1, r.RetryAfter)
	f.store.SetDropResponses(false)
	require.Equal(t, 200, f.submit(validJob).Status)
}

// A controller that can't reach the key-value store forwards submissions to one that can, whether or not it has
// noticed the loss of contact yet. If no other controller can take the submission, the user gets 503.
func TestSubmissionWithoutStoreContactIsForwardedToPeer(t *testing.T) {
	f := newAPIFixture(t)
	f.store.SetDisconnected(true)
	require.Equal(t, 503, f.submit(validJob).Status)
	f.peers.response = httpx.Response{Status: 201, Body: []byte(`{"id":"job-000412","phase":"pending"}`)}
	for _, f.peers.storeUnreachable = range []bool{false, true} {
		r := f.submit(validJob)
		require.Equal(t, 201, r.Status)
		require.JSONEq(t, `{"id":"job-000412","phase":"pending"}`, string(r.Body))
	}
	require.Equal(t, 3, f.peers.calls)
	f.store.SetDisconnected(false)
	f.peers.storeUnreachable, f.nowMS = false, 1000
	require.Equal(t, 201, f.submit(validJob).Status)
	require.Equal(t, 3, f.peers.calls, "the store can be reached again, so nothing is forwarded")
}

// During an outage of the store users repeat their submissions. If each of them were tried, they would use up the
// request budget that is needed after the outage, so none is tried for 250 ms after a refusal.
func TestSubmissionAfterStoreRefusalWaitsForBackoff(t *testing.T) {
	f := newAPIFixture(t)
	f.store.SetDisconnected(true)
	require.Equal(t, 503, f.submit(validJob).Status)
	f.store.SetDisconnected(false)
	f.nowMS += 200
	r := f.submit(validJob)
	require.Equal(t, 503, r.Status)
	require.Equal(t, 1, r.RetryAfter)
	f.nowMS += 100
	require.Equal(t, 201, f.submit(validJob).Status)
}

// Small jobs are written as watermarked with their acceptance, since a separate write for each of many small jobs
// would be too expensive. Larger jobs are not; their watermarks are written shortly before they are scheduled.
func TestSmallJobIsWatermarkedOnAcceptance(t *testing.T) {
	f := newAPIFixture(t)
	for tasks, watermarked := range map[string]bool{"1": true, "16": false} {
		id := "job-00041" + tasks
		body := strings.Replace(validJobWith("000412", "00041"+tasks), `"shards":16`, `"shards":`+tasks, 1)
		require.Equal(t, 201, f.submit(body).Status)
		require.Equal(t, watermarked, strings.Contains(string(f.activeRecord(id).Value), `"marked":true`))
	}
}
