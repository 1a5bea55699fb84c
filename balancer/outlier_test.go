package balancer

import "testing"

// An error costs an endpoint the requests of its class alone, a time-out those of all classes.
func TestOutlierDetectorSeparatesErrorsFromTimeOuts(t *testing.T) {
	b, _ := newWithEndpoints(t, testSettings(), 4)
	failing, healthy := b.endpoints.byID["s0"], b.endpoints.byID["s1"]
	failed, other := b.classes[0], b.classes[2]
	for range 5 {
		b.outliers.record(failing, failed, Error)
		b.outliers.record(healthy, failed, OK)
	}
	if w := b.weight(testStart, failing, failed); w > b.weight(testStart, healthy, failed)/5 {
		t.Errorf("errors leave weight %v for their class", w)
	}
	if b.weight(testStart, failing, other) != b.weight(testStart, healthy, other) {
		t.Error("errors of one class cost weight for another")
	}
	for range 5 {
		b.outliers.record(failing, failed, TimedOut)
		for range 3 {
			b.outliers.record(healthy, failed, OK)
		}
	}
	if w := b.weight(testStart, failing, other); w > b.weight(testStart, healthy, other)/5 {
		t.Errorf("time-outs leave weight %v for other classes", w)
	}
}

// All endpoints fail alike when a deeper tier fails.
func TestOutlierDetectorExcusesFailuresOfAll(t *testing.T) {
	b, _ := newWithEndpoints(t, testSettings(), 4)
	for range 100 {
		for _, ep := range b.endpoints.all {
			b.outliers.record(ep, b.classes[0], Error)
		}
	}
	for _, ep := range b.endpoints.all {
		if b.outliers.record(ep, b.classes[0], Error) {
			t.Errorf("%s: a failure that its peers show counts as its own", ep.ID)
		}
	}
}

// All endpoints refuse connections alike when a zone is lost.
func TestOutlierDetectorCountsFailedConnectionAsOwnFault(t *testing.T) {
	b, _ := newWithEndpoints(t, testSettings(), 8)
	for range 5 {
		for _, ep := range b.endpoints.all {
			if !b.outliers.record(ep, b.classes[0], ConnectFailed) {
				t.Fatalf("%s: a failed connection does not count as its own", ep.ID)
			}
		}
	}
}
