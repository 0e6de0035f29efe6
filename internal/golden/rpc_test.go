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

// message is a test case for one type that controllers send each other.
type message struct {
	name  string
	check func(t *testing.T, name string)
}

// messageOf returns the test case of a message. Now is the message's type in this release, Frozen the copy of its type
// in the releases in use.
func messageOf[Now, Frozen any](name string) message {
	return message{name, func(t *testing.T, name string) {
		t.Helper()
		now := sample[Now]()
		old := fromHex(t, readGolden(t, "rpc/"+name+".hex", func() []byte { return toHex(encodeGob(t, now)) }))

		var decoded Now
		decodeGob(t, old, &decoded)
		require.Equal(t, now, decoded, "this release must decode the earlier release's message")

		encoded := encodeGob(t, now)
		require.Equal(t, normalForm(t, old), normalForm(t, encoded), "this release must encode the same fields and values")

		var want, got Frozen
		decodeGob(t, old, &want)
		decodeGob(t, encoded, &got)
		require.Equal(t, want, got, "the earlier release must decode this release's message")
		require.Equal(t, sample[Frozen](), want, "the frozen copy must have the fields of the earlier release's type")
		require.Equal(t, normalForm(t, old), normalForm(t, encodeGob(t, got)), "the frozen copy must encode as the earlier release does")
	}}
}

// messages lists the messages. Each name is that of a golden file, so it stays when the Go type is renamed.
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

// During an upgrade, controllers of two releases call each other, since they are restarted one by one. gob matches
// fields by name and silently ignores unknown ones, so a renamed field would be lost without an error.
func TestRPCMessagesKeepEncodedForm(t *testing.T) {
	for _, m := range messages {
		t.Run(m.name, func(t *testing.T) { m.check(t, m.name) })
	}
}

// stubService answers each call with a sample response, and records the last request.
type stubService struct {
	mu          sync.Mutex
	lastRequest any
}

func respond[In, Out any](s *stubService, in In, out *Out) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRequest, *out = in, sample[Out]()
	return nil
}

func (s *stubService) request() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRequest
}

var _ peer.Service = (*stubService)(nil)

func (s *stubService) Round(in peer.Batch, out *peer.BatchResponse) error { return respond(s, in, out) }
func (s *stubService) Poll(in peer.PollRequest, out *peer.PollResponse) error {
	return respond(s, in, out)
}
func (s *stubService) Hello(in peer.Heartbeat, out *peer.Heartbeat) error { return respond(s, in, out) }
func (s *stubService) Demand(in peer.Heartbeat, out *peer.DemandResponse) error {
	return respond(s, in, out)
}
func (s *stubService) Status(in peer.JobRequest, out *peer.JobResponse) error {
	return respond(s, in, out)
}
func (s *stubService) Withdraw(in peer.JobRequest, out *peer.JobResponse) error {
	return respond(s, in, out)
}
func (s *stubService) Submit(in peer.SubmitRequest, out *peer.SubmitResponse) error {
	return respond(s, in, out)
}
func (s *stubService) Drain(in peer.DrainRequest, out *peer.DrainResponse) error {
	return respond(s, in, out)
}
func (s *stubService) Gone(in peer.MachinesGone, out *peer.DrainResponse) error {
	return respond(s, in, out)
}
func (s *stubService) Teams(in peer.TeamsRequest, out *peer.TeamsResponse) error {
	return respond(s, in, out)
}
func (s *stubService) Zones(in peer.ZonesRequest, out *peer.ZonesResponse) error {
	return respond(s, in, out)
}
func (s *stubService) HoldZone(in peer.ZoneHoldRequest, out *peer.ZoneHoldResponse) error {
	return respond(s, in, out)
}
func (s *stubService) History(in peer.HistoryRequest, out *history.Page) error {
	return respond(s, in, out)
}

// earlierService is the service of an earlier release: it has the frozen types and method names.
type earlierService struct{ *stubService }

func (s *earlierService) Round(in FrozenRound, out *FrozenRoundAnswer) error {
	return respond(s.stubService, in, out)
}
func (s *earlierService) Poll(in FrozenPoll, out *FrozenPollAnswer) error {
	return respond(s.stubService, in, out)
}
func (s *earlierService) Hello(in FrozenHello, out *FrozenHello) error {
	return respond(s.stubService, in, out)
}
func (s *earlierService) Demand(in FrozenHello, out *FrozenDemandAnswer) error {
	return respond(s.stubService, in, out)
}
func (s *earlierService) Status(in FrozenJobQuery, out *FrozenJobAnswer) error {
	return respond(s.stubService, in, out)
}
func (s *earlierService) Withdraw(in FrozenJobQuery, out *FrozenJobAnswer) error {
	return respond(s.stubService, in, out)
}
func (s *earlierService) Submit(in FrozenSubmitQuery, out *FrozenSubmitAnswer) error {
	return respond(s.stubService, in, out)
}
func (s *earlierService) Drain(in FrozenDrainQuery, out *FrozenDrainAnswer) error {
	return respond(s.stubService, in, out)
}
func (s *earlierService) Gone(in FrozenGoneNote, out *FrozenDrainAnswer) error {
	return respond(s.stubService, in, out)
}
func (s *earlierService) Teams(in FrozenTeamsQuery, out *FrozenTeamsAnswer) error {
	return respond(s.stubService, in, out)
}
func (s *earlierService) Zones(in FrozenZonesQuery, out *FrozenZonesAnswer) error {
	return respond(s.stubService, in, out)
}
func (s *earlierService) HoldZone(in FrozenZoneHold, out *FrozenZoneHoldAnswer) error {
	return respond(s.stubService, in, out)
}
func (s *earlierService) History(in FrozenHistoryQuery, out *FrozenPage) error {
	return respond(s.stubService, in, out)
}

// method is a test case for one method of the service, between this release and an earlier one.
type method struct {
	name string
	// fromEarlier calls this release's service as a client of an earlier release does.
	fromEarlier func(t *testing.T, c *rpc.Client, method string, s *stubService)
	// toEarlier calls an earlier release's service with this release's client.
	toEarlier func(t *testing.T, c *peer.Client, method string, s *stubService)
}

func methodOf[In, Out, FrozenIn, FrozenOut any](name string) method {
	return method{name: name,
		fromEarlier: func(t *testing.T, c *rpc.Client, method string, s *stubService) {
			t.Helper()
			var out FrozenOut
			require.NoError(t, c.Call("Merlinlatch."+method, sample[FrozenIn](), &out))
			require.Equal(t, sample[In](), s.request())
			require.Equal(t, sample[FrozenOut](), out)
		},
		toEarlier: func(t *testing.T, c *peer.Client, method string, s *stubService) {
			t.Helper()
			var out Out
			require.NoError(t, c.Call(method, sample[In](), &out, 10*time.Second))
			require.Equal(t, sample[FrozenIn](), s.request())
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

// startServer starts the real server for a service on a free port of the loopback address, and returns the server's
// address.
func startServer(t *testing.T, service any) string {
	t.Helper()
	for range 10 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		addr := l.Addr().String()
		require.NoError(t, l.Close())
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		failed := make(chan error, 1)
		go func() { failed <- peer.Serve(ctx, addr, service, nil) }()
		for {
			conn, err := net.Dial("tcp4", addr)
			if err == nil {
				conn.Close()
			}
			select {
			case <-failed: // another process took the port before the server listened
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

// During an upgrade a controller of an earlier release calls this release's service, by the earlier method names and
// with the earlier types. A renamed method would make these calls fail.
func TestRPCServerAnswersEarlierRelease(t *testing.T) {
	s := &stubService{}
	c, err := rpc.Dial("tcp4", startServer(t, s))
	require.NoError(t, err)
	defer c.Close()
	for _, m := range methods {
		t.Run(m.name, func(t *testing.T) { m.fromEarlier(t, c, m.name, s) })
	}
}

// During an upgrade this release's client calls the service of an earlier release, which knows only the earlier method
// names and types.
func TestRPCClientReachesEarlierRelease(t *testing.T) {
	s := &stubService{}
	srv := rpc.NewServer()
	require.NoError(t, srv.RegisterName("Merlinlatch", &earlierService{s}))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go srv.Accept(l)
	c := peer.NewClient(l.Addr().String(), nil)
	for _, m := range methods {
		t.Run(m.name, func(t *testing.T) { m.toEarlier(t, c, m.name, s) })
	}
}

// A method that is added to peer.Service but not to the table above would not be tested against earlier releases.
func TestRPCMethodsAllHaveGoldenForm(t *testing.T) {
	var implemented, want []string
	for m := range reflect.TypeFor[peer.Service]().Methods() {
		implemented = append(implemented, m.Name)
	}
	for _, m := range methods {
		want = append(want, m.name)
	}
	require.ElementsMatch(t, want, implemented)
}
