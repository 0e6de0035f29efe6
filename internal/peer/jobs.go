package peer

import "github.com/merlinlatch/merlinlatch/wire"

// JobRequest asks the team's scheduler for a job's state (method Status), or to cancel it (Withdraw).
type JobRequest struct{ Team, ID string }

// JobResponse is the scheduler's answer.
type JobResponse struct {
	Known bool          // this controller leads the team, and may answer for it
	Found bool          // the job is among the team's
	Retry bool          // there is no answer yet: the final state or the cancellation is being written
	State wire.JobState // valid when Known and Found, and not Retry
}

// SubmitRequest forwards a user's submission to a controller with contact to the key-value store.
type SubmitRequest struct{ Body []byte }

// SubmitResponse is the answer for the user.
type SubmitResponse struct {
	Status     int // of HTTP
	Body       []byte
	RetryAfter int // seconds; 0: no such header
}
