package httpx

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const postRequest = "POST /api/jobs?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nconnection: Close\r\n\r\nhello"

// A request can arrive in pieces of any size. The parser must report it as incomplete at every possible cut, and must
// not take bytes of the request that follows it.
func TestRequestInPiecesIsParsedOnceComplete(t *testing.T) {
	for i := range len(postRequest) {
		r, used, err := ParseRequest([]byte(postRequest[:i]), 100)
		require.NoError(t, err)
		require.Nil(t, r, "cut at %d", i)
		require.Zero(t, used)
	}
	r, used, err := ParseRequest([]byte(postRequest+"GET"), 100)
	require.NoError(t, err)
	require.Equal(t, len(postRequest), used)
	require.Equal(t, &Request{Method: "POST", Path: "/api/jobs", Query: "x=1", Body: []byte("hello"), Close: true}, r)
}

// Responses that AppendResponse writes, and chunked requests with random chunk sizes, must be parsed to the values that
// were written.
func TestWrittenMessageIsParsedBack(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		body := strings.Repeat("x", rng.IntN(3000))
		r, used, err := ParseResponse(AppendResponse(nil, Response{Status: 503, Body: []byte(body), RetryAfter: 7, Close: true}), 1<<20)
		require.NoError(t, err)
		require.NotZero(t, used)
		require.Equal(t, Response{Status: 503, Body: []byte(body), RetryAfter: 7, Close: true}, *r)
		var chunked strings.Builder
		chunked.WriteString("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
		for rest := body; rest != ""; {
			n := 1 + rng.IntN(len(rest))
			fmt.Fprintf(&chunked, "%x;ext\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		chunked.WriteString("0\r\nTrailer: 1\r\n\r\n")
		request, _, err := ParseRequest([]byte(chunked.String()), 1<<20)
		require.NoError(t, err)
		require.Equal(t, body, string(request.Body))
	}
}

// The parser must reject invalid and ambiguous requests, such as one with two lengths. If it guessed a length, it could
// take a part of a body for the next request.
func TestMalformedRequestIsRejected(t *testing.T) {
	for _, bad := range []string{
		"\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/2\r\n\r\n", "get / HTTP/1.1\r\n\r\n", "GET x HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nno colon\r\n\r\n", "GET / HTTP/1.1\r\n: empty\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
	} {
		_, _, err := ParseRequest([]byte(bad), 100)
		require.ErrorIs(t, err, ErrMalformed, "%q", bad)
	}
	_, _, err := ParseRequest([]byte("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"), 100)
	require.ErrorIs(t, err, ErrTooLarge)
	_, _, err = ParseRequest([]byte("GET / HTTP/1.1\r\nX: "+strings.Repeat("a", maxHead)), 100)
	require.ErrorIs(t, err, ErrTooLarge)
}

// FuzzParseRequest checks that the parser takes no more bytes than it gets, keeps to the limit of the body, and parses a
// request to the same value again from exactly the bytes that it took.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(postRequest))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, used, err := ParseRequest(b, 1000)
		require.False(t, r != nil && err != nil)
		require.LessOrEqual(t, used, len(b))
		if r != nil {
			require.NotZero(t, used)
			require.LessOrEqual(t, len(r.Body), 1000)
			again, _, err := ParseRequest(b[:used], 1000)
			require.NoError(t, err)
			require.Equal(t, r, again)
		}
	})
}
