package api

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
)

func TestSubmissionIsAcceptedOnce(t *testing.T) {
	f := newAPIFixture(t)
	require.Equal(t, 404, f.status().Status)
	r := f.submit(validJob)
	require.Equal(t, 201, r.Status)
	require.JSONEq(t, `{"id":"job-000412","phase":"pending"}`, string(r.Body))
	require.Equal(t, 200, f.submit(validJob).Status, "a retry at a controller whose cache does not show the job yet")
	require.Equal(t, 200, f.status().Status)
}

// The user is asked to come back, and finds the job accepted.
func TestSubmissionWithLostStoreResponseIsFoundOnRetry(t *testing.T) {
	f := newAPIFixture(t)
	f.store.SetMute(true)
	r := f.submit(validJob)
	require.Equal(t, 503, r.Status)
	require.Equal(t, 1, r.RetryAfter)
	f.store.SetMute(false)
	require.Equal(t, 200, f.submit(validJob).Status)
}

// Cut off from the key-value store alone, a controller has another one store the
// job; when none can, its user is asked immediately to come back.
func TestSubmissionWithoutStoreContactIsForwardedToPeer(t *testing.T) {
	f := newAPIFixture(t)
	f.store.SetCut(true)
	require.Equal(t, 503, f.submit(validJob).Status)
	f.peers.response = httpx.Response{Status: 201, Body: []byte(`{"id":"job-000412","phase":"pending"}`)}
	for _, f.peers.storeUnreachable = range []bool{false, true} {
		r := f.submit(validJob)
		require.Equal(t, 201, r.Status)
		require.JSONEq(t, `{"id":"job-000412","phase":"pending"}`, string(r.Body))
	}
	require.Equal(t, 3, f.peers.calls)
	f.store.SetCut(false)
	f.peers.storeUnreachable, f.nowMS = false, 1000
	require.Equal(t, 201, f.submit(validJob).Status)
	require.Equal(t, 3, f.peers.calls, "no peer is needed now")
}

// In an outage not every submission is tried: the request budget is for those that come
// after it.
func TestSubmissionAfterStoreRefusalWaitsForBackoff(t *testing.T) {
	f := newAPIFixture(t)
	f.store.SetCut(true)
	require.Equal(t, 503, f.submit(validJob).Status)
	f.store.SetCut(false)
	f.nowMS += 200
	r := f.submit(validJob)
	require.Equal(t, 503, r.Status)
	require.Equal(t, 1, r.RetryAfter)
	f.nowMS += 100
	require.Equal(t, 201, f.submit(validJob).Status)
}

// Of many jobs of a task or two each the watermarks come with the acceptance, in the
// same change. Larger ones are watermarked as their turn comes near.
func TestSmallJobIsWatermarkedOnAcceptance(t *testing.T) {
	f := newAPIFixture(t)
	for tasks, watermarked := range map[string]bool{"1": true, "16": false} {
		id := "job-00041" + tasks
		body := strings.Replace(validJobWith("000412", "00041"+tasks), `"shards":16`, `"shards":`+tasks, 1)
		require.Equal(t, 201, f.submit(body).Status)
		require.Equal(t, watermarked, strings.Contains(string(f.activeRecord(id).Value), `"marked":true`))
	}
}
