package balancer

import (
	"testing"
)

// TestRequestUploadedBeginsCallInFlight checks that a streamed request counts neither as in flight nor by its time before its last byte has been sent.
func TestRequestUploadedBeginsCallInFlight(t *testing.T) {
	b, h := with(t, testSettings(), 2)
	b.HandleRequest(start, h, Request{ID: "r", Class: 0, Deadline: start + 1_000_000, Streaming: true})
	if len(h.sends) != 1 || b.tierLimit.inFlight != 0 || b.classes[0].limit.inFlight != 0 {
		t.Fatalf("%d sends, %d calls in flight", len(h.sends), b.tierLimit.inFlight)
	}
	late := start + 10_000_000
	ask(b, h, late, "other", 0) // looks for slow calls
	if b.quotas.evidence.bad != 0 {
		t.Error("the upload counts as slow")
	}
	b.RequestUploaded(late, "r", late+1_000_000)
	b.RequestUploaded(late, "r", late+1_000_000)
	b.RequestUploaded(late, "nobody", late)
	if b.tierLimit.inFlight != 2 || b.classes[0].limit.inFlight != 2 {
		t.Errorf("%d calls in flight", b.tierLimit.inFlight)
	}
	b.HandleOutcome(late+1000, h, Outcome{ID: "r", Status: OK, Latency: 1000, RequestDone: true})
	if b.tierLimit.inFlight != 1 || b.tierLimit.evidence.bad != 0 || b.requests["r"] != nil {
		t.Errorf("%d calls in flight, %d late", b.tierLimit.inFlight, b.tierLimit.evidence.bad)
	}
	b.HandleRequest(late, h, Request{ID: "s", Class: 0, Deadline: late + 1_000_000, Streaming: true})
	b.HandleOutcome(late+1000, h, Outcome{ID: "s", Status: NotAttempted, RequestDone: true})
	if b.tierLimit.inFlight != 1 {
		t.Errorf("an upload that broke off: %d calls in flight", b.tierLimit.inFlight)
	}
}

// TestHandleOutcomeDoesNotRetryConsumedBody rejects a request that cannot be sent again where nothing has run, and fails it otherwise.
func TestHandleOutcomeDoesNotRetryConsumedBody(t *testing.T) {
	for _, c := range []struct {
		class  int
		status Status
		want   string
	}{{0, ConnectFailed, "refuse r"}, {2, Rejected, "refuse r"}, {0, Reset, "refuse r"}, {2, Reset, "fail r"}, {2, TimedOut, "fail r"}} {
		b, h := with(t, testSettings(), 4)
		b.HandleRequest(start, h, Request{ID: "r", Class: c.class, Deadline: start + 1_000_000, Streaming: true})
		b.HandleOutcome(start+1000, h, Outcome{ID: "r", Status: c.status, BodyConsumed: true})
		if len(h.sends) != 1 || h.last() != c.want {
			t.Errorf("class %d, status %d: %d sends, then %q", c.class, c.status, len(h.sends), h.last())
		}
	}
}
