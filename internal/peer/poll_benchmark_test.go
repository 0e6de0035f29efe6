package peer

import (
	"fmt"
	"net"
	"net/rpc"
	"testing"

	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// pollStub is a partition leader that answers every poll with the same response.
type pollStub struct{ response PollResponse }

func (s *pollStub) Poll(_ PollRequest, out *PollResponse) error {
	*out = s.response
	return nil
}

// responseWithMachines returns a response to a poll that lists the given number of machines, with three changed
// tasks on each.
func responseWithMachines(machines int) PollResponse {
	out := PollResponse{Incarnation: "incarnation", Cursor: 7, Parts: map[int]uint64{0: 1, 1: 1}}
	for i := range machines {
		v := MachineView{
			ID: fmt.Sprintf("m-%06d", i), Term: 1, Version: 7, Type: "big", Zone: "a",
			Cap: resources.Capacity(32, 0, 64), Free: resources.Capacity(4, 0, 8),
			Accounted: true, Usable: true, Count: 14,
		}
		for n := range 3 {
			v.Tasks = append(v.Tasks, TaskView{
				ID: TaskID{"job-000001", n, 1 << 32}, Team: "red", Rank: 2, Need: resources.Request(2, 0, 1), Phase: "running",
			})
		}
		out.Machines = append(out.Machines, v)
	}
	return out
}

// BenchmarkPoll measures a poll between two controllers, including net/rpc's encoding and decoding on both
// sides, with 0, 5 and 410 changed machines.
func BenchmarkPoll(b *testing.B) {
	for _, machines := range []int{0, 5, 410} {
		b.Run(fmt.Sprintf("%d machines changed", machines), func(b *testing.B) {
			srv := rpc.NewServer()
			if err := srv.RegisterName(serviceName, &pollStub{responseWithMachines(machines)}); err != nil {
				b.Fatal(err)
			}
			clientEnd, serverEnd := net.Pipe()
			go srv.ServeConn(serverEnd)
			client := rpc.NewClient(clientEnd)
			defer client.Close()
			in := PollRequest{Incarnation: "incarnation", Cursor: 6, Terms: map[string]uint64{"red": 1}}
			b.ReportAllocs()
			for b.Loop() {
				var out PollResponse
				if err := client.Call(serviceName+".Poll", in, &out); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
