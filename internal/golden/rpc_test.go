package golden

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// message is one type that controllers send each other.
type message struct {
	name  string
	check func(t *testing.T, name string)
}

// messageOf makes the check of a message: Now is its present type, Frozen the copy of the type that
// releases in use have.
func messageOf[Now, Frozen any](name string) message {
	return message{name, func(t *testing.T, name string) {
		t.Helper()
		now := sample[Now]()
		old := fromHex(t, golden(t, "rpc/"+name+".hex", func() []byte { return toHex(encodeGob(t, now)) }))

		var decoded Now
		decodeGob(t, old, &decoded)
		require.Equal(t, now, decoded, "this release understands the earlier one")

		encoded := encodeGob(t, now)
		require.Equal(t, normalForm(t, old), normalForm(t, encoded), "fields and values on the wire")

		var want, got Frozen
		decodeGob(t, old, &want)
		decodeGob(t, encoded, &got)
		require.Equal(t, want, got, "the earlier release understands this one")
		require.Equal(t, sample[Frozen](), want, "the frozen copy has the fields of the release")
		require.Equal(t, normalForm(t, old), normalForm(t, encodeGob(t, got)), "the frozen copy sends what the release sends")
	}}
}

// messages are named as their golden files: a name here stays when its type is renamed.
var messages = []message{
	messageOf[peer.Batch, FrozenRound]("Round"),
	messageOf[peer.BatchResponse, FrozenRoundAnswer]("RoundAnswer"),
	messageOf[peer.PollRequest, FrozenPoll]("Poll"),
	messageOf[peer.PollResponse, FrozenPollAnswer]("PollAnswer"),
	messageOf[peer.Heartbeat, FrozenHello]("Hello"),
	messageOf[peer.DemandResponse, FrozenDemandAnswer]("DemandAnswer"),
	messageOf[peer.JobRequest, FrozenJobQuery]("JobQuery"),
	messageOf[peer.JobResponse, FrozenJobAnswer]("JobAnswer"),
	messageOf[peer.SubmitRequest, FrozenSubmitQuery]("SubmitQuery"),
	messageOf[peer.SubmitResponse, FrozenSubmitAnswer]("SubmitAnswer"),
	messageOf[peer.DrainRequest, FrozenDrainQuery]("DrainQuery"),
	messageOf[peer.DrainResponse, FrozenDrainAnswer]("DrainAnswer"),
	messageOf[peer.MachinesGone, FrozenGoneNote]("GoneNote"),
	messageOf[peer.TeamsRequest, FrozenTeamsQuery]("TeamsQuery"),
	messageOf[peer.TeamsResponse, FrozenTeamsAnswer]("TeamsAnswer"),
	messageOf[peer.ZonesRequest, FrozenZonesQuery]("ZonesQuery"),
	messageOf[peer.ZonesResponse, FrozenZonesAnswer]("ZonesAnswer"),
	messageOf[peer.ZoneHoldRequest, FrozenZoneHold]("ZoneHold"),
	messageOf[peer.ZoneHoldResponse, FrozenZoneHoldAnswer]("ZoneHoldAnswer"),
	messageOf[peer.HistoryRequest, FrozenHistoryQuery]("HistoryQuery"),
	messageOf[history.Page, FrozenPage]("Page"),
	messageOf[peer.TaskID, FrozenTaskID]("TaskID"),
	messageOf[peer.TaskView, FrozenTaskView]("TaskView"),
	messageOf[peer.MachineView, FrozenMachineView]("MachineView"),
	messageOf[peer.Assignment, FrozenAsk]("Ask"),
	messageOf[peer.StartTask, FrozenStart]("Start"),
	messageOf[peer.StopTask, FrozenStop]("Stop"),
	messageOf[peer.Acknowledgement, FrozenSettle]("Settle"),
	messageOf[peer.CancelJob, FrozenCancel]("Cancel"),
	messageOf[peer.Demand, FrozenDemand]("Demand"),
	messageOf[peer.MachineRef, FrozenMachine]("Machine"),
	messageOf[peer.TeamStatus, FrozenTeamStatus]("TeamStatus"),
	messageOf[peer.MoveRecord, FrozenMoveNote]("MoveNote"),
	messageOf[peer.DeclinedMoves, FrozenUnmoved]("Unmoved"),
	messageOf[peer.ZoneStatus, FrozenZoneStatus]("ZoneStatus"),
}

// Controllers of two releases work together while they are restarted one by one. What one sends, the
// other must understand to the last field, whatever the types are called in its code.
func TestRPCMessagesKeepEncodedForm(t *testing.T) {
	for _, m := range messages {
		t.Run(m.name, func(t *testing.T) { m.check(t, m.name) })
	}
}

// stub answers each call with a sample, and keeps what it was asked.
type stub struct {
	mu    sync.Mutex
	asked any
}

func answer[In, Out any](s *stub, in In, out *Out) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked, *out = in, sample[Out]()
	return nil
}

func (s *stub) lastAsked() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

var _ peer.Service = (*stub)(nil)

func (s *stub) Round(in peer.Batch, out *peer.BatchResponse) error       { return answer(s, in, out) }
func (s *stub) Poll(in peer.PollRequest, out *peer.PollResponse) error   { return answer(s, in, out) }
func (s *stub) Hello(in peer.Heartbeat, out *peer.Heartbeat) error       { return answer(s, in, out) }
func (s *stub) Demand(in peer.Heartbeat, out *peer.DemandResponse) error { return answer(s, in, out) }
func (s *stub) Status(in peer.JobRequest, out *peer.JobResponse) error   { return answer(s, in, out) }
func (s *stub) Withdraw(in peer.JobRequest, out *peer.JobResponse) error { return answer(s, in, out) }
func (s *stub) Submit(in peer.SubmitRequest, out *peer.SubmitResponse) error {
	return answer(s, in, out)
}
func (s *stub) Drain(in peer.DrainRequest, out *peer.DrainResponse) error { return answer(s, in, out) }
func (s *stub) Gone(in peer.MachinesGone, out *peer.DrainResponse) error  { return answer(s, in, out) }
func (s *stub) Teams(in peer.TeamsRequest, out *peer.TeamsResponse) error { return answer(s, in, out) }
func (s *stub) Zones(in peer.ZonesRequest, out *peer.ZonesResponse) error { return answer(s, in, out) }
func (s *stub) HoldZone(in peer.ZoneHoldRequest, out *peer.ZoneHoldResponse) error {
	return answer(s, in, out)
}
func (s *stub) History(in peer.HistoryRequest, out *history.Page) error { return answer(s, in, out) }

// earlier is the service of a release in use, with the frozen types and method names.
type earlier struct{ *stub }

func (s *earlier) Round(in FrozenRound, out *FrozenRoundAnswer) error { return answer(s.stub, in, out) }
func (s *earlier) Poll(in FrozenPoll, out *FrozenPollAnswer) error    { return answer(s.stub, in, out) }
func (s *earlier) Hello(in FrozenHello, out *FrozenHello) error       { return answer(s.stub, in, out) }
func (s *earlier) Demand(in FrozenHello, out *FrozenDemandAnswer) error {
	return answer(s.stub, in, out)
}
func (s *earlier) Status(in FrozenJobQuery, out *FrozenJobAnswer) error {
	return answer(s.stub, in, out)
}
func (s *earlier) Withdraw(in FrozenJobQuery, out *FrozenJobAnswer) error {
	return answer(s.stub, in, out)
}
func (s *earlier) Submit(in FrozenSubmitQuery, out *FrozenSubmitAnswer) error {
	return answer(s.stub, in, out)
}
func (s *earlier) Drain(in FrozenDrainQuery, out *FrozenDrainAnswer) error {
	return answer(s.stub, in, out)
}
func (s *earlier) Gone(in FrozenGoneNote, out *FrozenDrainAnswer) error {
	return answer(s.stub, in, out)
}
func (s *earlier) Teams(in FrozenTeamsQuery, out *FrozenTeamsAnswer) error {
	return answer(s.stub, in, out)
}
func (s *earlier) Zones(in FrozenZonesQuery, out *FrozenZonesAnswer) error {
	return answer(s.stub, in, out)
}
func (s *earlier) HoldZone(in FrozenZoneHold, out *FrozenZoneHoldAnswer) error {
	return answer(s.stub, in, out)
}
func (s *earlier) History(in FrozenHistoryQuery, out *FrozenPage) error {
	return answer(s.stub, in, out)
}

// method is one method of the service, with its present and its frozen types.
type method struct {
	name string
	// fromEarlier has a client of an earlier release call this release's service.
	fromEarlier func(t *testing.T, c *rpc.Client, method string, s *stub)
	// toEarlier has this release's client call an earlier release's service.
	toEarlier func(t *testing.T, c *peer.Client, method string, s *stub)
}

func methodOf[In, Out, FrozenIn, FrozenOut any](name string) method {
	return method{name: name,
		fromEarlier: func(t *testing.T, c *rpc.Client, method string, s *stub) {
			t.Helper()
			var out FrozenOut
			require.NoError(t, c.Call("Merlinlatch."+method, sample[FrozenIn](), &out))
			require.Equal(t, sample[In](), s.lastAsked())
			require.Equal(t, sample[FrozenOut](), out)
		},
		toEarlier: func(t *testing.T, c *peer.Client, method string, s *stub) {
			t.Helper()
			var out Out
			require.NoError(t, c.Call(method, sample[In](), &out, 10*time.Second))
			require.Equal(t, sample[FrozenIn](), s.lastAsked())
			require.Equal(t, sample[Out](), out)
		}}
}

var methods = []method{
	methodOf[peer.Batch, peer.BatchResponse, FrozenRound, FrozenRoundAnswer]("Round"),
	methodOf[peer.PollRequest, peer.PollResponse, FrozenPoll, FrozenPollAnswer]("Poll"),
	methodOf[peer.Heartbeat, peer.Heartbeat, FrozenHello, FrozenHello]("Hello"),
	methodOf[peer.Heartbeat, peer.DemandResponse, FrozenHello, FrozenDemandAnswer]("Demand"),
	methodOf[peer.JobRequest, peer.JobResponse, FrozenJobQuery, FrozenJobAnswer]("Status"),
	methodOf[peer.JobRequest, peer.JobResponse, FrozenJobQuery, FrozenJobAnswer]("Withdraw"),
	methodOf[peer.SubmitRequest, peer.SubmitResponse, FrozenSubmitQuery, FrozenSubmitAnswer]("Submit"),
	methodOf[peer.DrainRequest, peer.DrainResponse, FrozenDrainQuery, FrozenDrainAnswer]("Drain"),
	methodOf[peer.MachinesGone, peer.DrainResponse, FrozenGoneNote, FrozenDrainAnswer]("Gone"),
	methodOf[peer.TeamsRequest, peer.TeamsResponse, FrozenTeamsQuery, FrozenTeamsAnswer]("Teams"),
	methodOf[peer.ZonesRequest, peer.ZonesResponse, FrozenZonesQuery, FrozenZonesAnswer]("Zones"),
	methodOf[peer.ZoneHoldRequest, peer.ZoneHoldResponse, FrozenZoneHold, FrozenZoneHoldAnswer]("HoldZone"),
	methodOf[peer.HistoryRequest, history.Page, FrozenHistoryQuery, FrozenPage]("History"),
}

// serve has the real server answer with a service on a free port of the loopback, and
// gives its address.
func serve(t *testing.T, svc any) string {
	t.Helper()
	for range 10 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		addr := l.Addr().String()
		require.NoError(t, l.Close())
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		failed := make(chan error, 1)
		go func() { failed <- peer.Serve(ctx, addr, svc, nil) }()
		for {
			conn, err := net.Dial("tcp4", addr)
			if err == nil {
				conn.Close()
			}
			select {
			case <-failed: // another process took the port
			default:
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				return addr
			}
			break
		}
		cancel()
	}
	require.Fail(t, "no free port")
	return ""
}

// An earlier release calls the service by these names, with its own types.
func TestRPCServerAnswersEarlierRelease(t *testing.T) {
	s := &stub{}
	c, err := rpc.Dial("tcp4", serve(t, s))
	require.NoError(t, err)
	defer c.Close()
	for _, m := range methods {
		t.Run(m.name, func(t *testing.T) { m.fromEarlier(t, c, m.name, s) })
	}
}

// An earlier release offers the service by these names, and this release's client reaches it.
func TestRPCClientReachesEarlierRelease(t *testing.T) {
	s := &stub{}
	srv := rpc.NewServer()
	require.NoError(t, srv.RegisterName("Merlinlatch", &earlier{s}))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go srv.Accept(l)
	c := peer.NewClient(l.Addr().String(), nil)
	for _, m := range methods {
		t.Run(m.name, func(t *testing.T) { m.toEarlier(t, c, m.name, s) })
	}
}

// A method that is added to the service gets a line in the table of methods.
func TestRPCMethodsAllHaveGoldenForm(t *testing.T) {
	var have, want []string
	for m := range reflect.TypeFor[peer.Service]().Methods() {
		have = append(have, m.Name)
	}
	for _, m := range methods {
		want = append(want, m.name)
	}
	require.ElementsMatch(t, want, have)
}
