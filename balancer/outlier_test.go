package balancer

import "testing"

// An error response reduces the endpoint's weight for the request's class only, a timeout for all classes.
func TestOutlierDetectorSeparatesErrorsFromTimeouts(t *testing.T) {
	b, _ := newWithEndpoints(t, testSettings(), 4)
	failing, healthy := b.endpoints.byID["s0"], b.endpoints.byID["s1"]
	failed, other := b.classes[0], b.classes[2]
	for range 5 {
		b.outliers.record(failing, failed, Error)
		b.outliers.record(healthy, failed, OK)
	}
	if w := b.weight(testStart, failing, failed); w > b.weight(testStart, healthy, failed)/5 {
		t.Errorf("weight after errors is %v for their class, want at most a fifth of a healthy one's", w)
	}
	if b.weight(testStart, failing, other) != b.weight(testStart, healthy, other) {
		t.Error("errors of one class reduced the weight for another class")
	}
	for range 5 {
		b.outliers.record(failing, failed, TimedOut)
		for range 3 {
			b.outliers.record(healthy, failed, OK)
		}
	}
	if w := b.weight(testStart, failing, other); w > b.weight(testStart, healthy, other)/5 {
		t.Errorf("weight after timeouts is %v for other classes, want at most a fifth of a healthy one's",
			w)
	}
}

// When a deeper tier fails, all endpoints return errors at the same rate. None of them is an outlier.
func TestOutlierDetectorIgnoresFailuresSharedByAllEndpoints(t *testing.T) {
	b, _ := newWithEndpoints(t, testSettings(), 4)
	for range 100 {
		for _, ep := range b.endpoints.all {
			b.outliers.record(ep, b.classes[0], Error)
		}
	}
	for _, ep := range b.endpoints.all {
		if b.outliers.record(ep, b.classes[0], Error) {
			t.Errorf("%s: a failure that all endpoints have was attributed to this endpoint", ep.ID)
		}
	}
}

// When a zone is lost, all its endpoints refuse connections. Each failed connection is still attributed to
// its endpoint.
func TestOutlierDetectorCountsFailedConnectionAsOwnFault(t *testing.T) {
	b, _ := newWithEndpoints(t, testSettings(), 8)
	for range 5 {
		for _, ep := range b.endpoints.all {
			if !b.outliers.record(ep, b.classes[0], ConnectFailed) {
				t.Fatalf("%s: a failed connection was not attributed to this endpoint", ep.ID)
			}
		}
	}
}
