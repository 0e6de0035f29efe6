package peer

import "github.com/merlinlatch/merlinlatch/wire"

// JobRequest asks a scheduler for the state of a job (method Status) or to cancel the job (method Withdraw).
// Team is the job's team, and ID the job's id.
type JobRequest struct{ Team, ID string }

// JobResponse is a scheduler's answer to a JobRequest.
type JobResponse struct {
	Known bool          // the responder leads the team; otherwise the other fields are not set
	Found bool          // the responder knows an active or final job with the id
	Retry bool          // no answer yet: the job's final state or its cancellation is being written
	State wire.JobState // valid when Known and Found are set and Retry is not
}

// SubmitRequest forwards a user's submission to a controller that can reach the key-value store. Body is the
// body of the user's HTTP request.
type SubmitRequest struct{ Body []byte }

// SubmitResponse is the HTTP response that the user gets to a forwarded submission.
type SubmitResponse struct {
	Status     int    // HTTP status code
	Body       []byte // body of the response
	RetryAfter int    // value of the Retry-After header in seconds; 0: the response has no such header
}
