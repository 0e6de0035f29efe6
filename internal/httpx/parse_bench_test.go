package httpx

import (
	"fmt"
	"testing"
)

// userPoll is a user's query about a job.
const userPoll = "GET /api/jobs/job-000412 HTTP/1.1\r\nHost: 10.0.0.1:8080\r\nAccept: application/json\r\n\r\n"

// submittedJob is the body of a user's submission.
const submittedJob = `{"id":"job-000412","jobclass":"train","owner":"vision","shape":"array","rank":"high","shards":16,"cpus":8.0,` +
	`"accelerators":1.0,"mem_gb":64.0,"bundle":"img-07","size_gb":6.2,"hulls":["g8"],"yard":null,"one_zone":true,` +
	`"spread":false,"loaners":true,"guess_s":240.0,"snap_every_s":30.0}`

// benchmarkParse measures parsing a request and encoding a response.
func benchmarkParse(b *testing.B, request string) {
	raw := []byte(request)
	answer := Response{Status: 200, Body: []byte(`{"id":"job-000412","phase":"running","done":3,"running":13}`)}
	b.ReportAllocs()
	for b.Loop() {
		if r, _, err := ParseRequest(raw, maxBody); r == nil || err != nil {
			b.Fatal(err)
		}
		AppendResponse(nil, answer)
	}
}

func BenchmarkUserPoll(b *testing.B) { benchmarkParse(b, userPoll) }

func BenchmarkUserSubmission(b *testing.B) {
	const head = "POST /api/jobs HTTP/1.1\r\nHost: 10.0.0.1:8080\r\nContent-Length: %d\r\n\r\n"
	benchmarkParse(b, fmt.Sprintf(head, len(submittedJob))+submittedJob)
}
