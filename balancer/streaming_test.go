package balancer

import (
	"fmt"
	"testing"
)

// checkInFlight checks the number of calls in flight of the tier and of the first class.
func checkInFlight(t *testing.T, b *Balancer, want int) {
	t.Helper()
	if tier, class := b.tierLimit.inFlight, b.classes[0].limit.inFlight; tier != want || class != want {
		t.Errorf("%d calls in flight in the tier and %d in the class, want %d", tier, class, want)
	}
}

// An endpoint cannot start before it has the last byte. Until then a streamed request is not in flight, and
// the time that the client takes to write it does not count as latency.
func TestRequestUploadedBeginsCallInFlight(t *testing.T) {
	b, h := newWithEndpoints(t, testSettings(), 2)
	b.HandleRequest(testStart, h, Request{ID: "r", Deadline: testStart + second, Streaming: true})
	if len(h.sends) != 1 {
		t.Fatalf("%d sends, want 1", len(h.sends))
	}
	checkInFlight(t, b, 0)
	uploaded := testStart + 10*second
	sendRequest(b, h, uploaded, "other", idempotentClass) // counts slow attempts
	if b.quotas.evidence.bad != 0 {
		t.Error("the upload was counted as slow")
	}
	b.RequestUploaded(uploaded, "r", uploaded+second)
	b.RequestUploaded(uploaded, "r", uploaded+second)
	b.RequestUploaded(uploaded, "unknown", uploaded)
	checkInFlight(t, b, 2)
	succeed(b, h, uploaded+1000, "r", 1000)
	checkInFlight(t, b, 1)
	if b.tierLimit.evidence.bad != 0 || b.requests["r"] != nil {
		t.Errorf("after the response: %d late calls, request kept: %v",
			b.tierLimit.evidence.bad, b.requests["r"] != nil)
	}
	b.HandleRequest(uploaded, h, Request{ID: "s", Deadline: uploaded + second, Streaming: true})
	b.HandleOutcome(uploaded+1000, h, Outcome{ID: "s", Status: NotAttempted, RequestDone: true})
	checkInFlight(t, b, 1) // an interrupted upload was never in flight
}

// A request that cannot be sent again is rejected if nothing has run or its class is idempotent, and fails
// otherwise.
func TestHandleOutcomeDoesNotRetryConsumedBody(t *testing.T) {
	for _, c := range []struct {
		class  int
		status Status
		want   string
	}{
		{idempotentClass, ConnectFailed, "reject r"},
		{notIdempotentClass, Rejected, "reject r"},
		{idempotentClass, Reset, "reject r"},
		{notIdempotentClass, Reset, "fail r"},
		{notIdempotentClass, TimedOut, "fail r"},
	} {
		t.Run(fmt.Sprintf("class %d status %d", c.class, c.status), func(t *testing.T) {
			b, h := newWithEndpoints(t, testSettings(), 4)
			b.HandleRequest(testStart, h, Request{ID: "r", Class: c.class, Deadline: testStart + second, Streaming: true})
			b.HandleOutcome(testStart+1000, h, Outcome{ID: "r", Status: c.status, BodyConsumed: true})
			if len(h.sends) != 1 || h.last() != c.want {
				t.Errorf("%d sends, then %q, want 1 and %q", len(h.sends), h.last(), c.want)
			}
		})
	}
}

// Guards against a retry whose response could not be delivered either, because the process ends.
func TestHandleOutcomeDoesNotRetryUndeliverableResponse(t *testing.T) {
	for class, want := range map[int]string{idempotentClass: "reject r", notIdempotentClass: "fail r"} {
		t.Run(want, func(t *testing.T) {
			b, h := newWithEndpoints(t, testSettings(), 4)
			b.HandleRequest(testStart, h, Request{ID: "r", Class: class, Deadline: testStart + second})
			b.HandleOutcome(testStart+1000, h, Outcome{ID: "r", Status: OK, Undeliverable: true})
			if len(h.sends) != 1 || h.last() != want || b.requests["r"] != nil {
				t.Errorf("%d sends, then %q, want 1 and %q", len(h.sends), h.last(), want)
			}
		})
	}
}
