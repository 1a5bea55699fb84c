package balancer_test

import (
	"fmt"

	"baylock/balancer"
)

// printer is a Host that prints the calls that it receives. A real proxy would carry them out.
type printer struct{}

func (printer) Send(id, endpoint string, timeout, _ balancer.Microseconds) {
	fmt.Println("send", id, "to", endpoint, "for", timeout)
}
func (printer) Reject(id string, after balancer.Microseconds)      { fmt.Println("reject", id) }
func (printer) Fail(id string)                                     { fmt.Println("fail", id) }
func (printer) SetTimer(delay balancer.Microseconds, token string) { fmt.Println("timer", token) }
func (printer) Subscribe()                                         { fmt.Println("subscribe") }
func (printer) Log(line string)                                    { fmt.Println("log:", line) }

// A Balancer with two endpoints handles a request. The first endpoint rejects it, so the Balancer retries it
// at the other one, which responds.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Replicas: 1, Zones: 1, MaxAttempts: 3, SlowStartCapacity: 0.2, SlowStartDuration: 20_000_000,
		Classes: []balancer.Class{{LatencyObjective: 500_000, Deadline: 1_500_000, PriorityWeight: 1, Idempotency: balancer.NotIdempotent}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	var h printer
	now := balancer.Microseconds(1_000_000)
	b.UpdateEndpoints(now, h, balancer.FullUpdate, []balancer.Endpoint{
		{ID: "a", State: balancer.Ready, Capacity: 1}, {ID: "b", State: balancer.Ready, Capacity: 1},
	})
	b.HandleRequest(now, h, balancer.Request{ID: "r1", Deadline: now + 1_500_000})
	b.HandleOutcome(now+1000, h, balancer.Outcome{ID: "r1", Attempt: 0, Status: balancer.Rejected, Latency: 1000})
	b.HandleOutcome(now+90_000, h, balancer.Outcome{ID: "r1", Attempt: 1, Status: balancer.OK, Latency: 89_000, RequestDone: true})
	b.HandleRequest(now+90_000, h, balancer.Request{ID: "r2", Deadline: now + 91_000}) // no time left
	// Output:
	// send r1 to b for 500000
	// send r1 to a for 499000
	// reject r2
}
