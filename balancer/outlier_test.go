package balancer

import (
	"testing"
)

// TestOutlierDetectorSeparatesErrorsFromSilence checks that errors cost an endpoint the requests of their class alone, and time-outs those of all classes.
func TestOutlierDetectorSeparatesErrorsFromSilence(t *testing.T) {
	b, _ := with(t, testSettings(), 4)
	ill, well := b.endpoints.byID["s0"], b.endpoints.byID["s1"]
	for range 5 {
		b.outliers.record(ill, b.classes[0], Error)
		b.outliers.record(well, b.classes[0], OK)
	}
	if w := b.weight(start, ill, b.classes[0]); w > b.weight(start, well, b.classes[0])/5 {
		t.Errorf("a server that fails the class keeps weight %v", w)
	}
	if b.weight(start, ill, b.classes[2]) != b.weight(start, well, b.classes[2]) {
		t.Error("errors of one class cost a server the others")
	}
	for range 5 {
		b.outliers.record(ill, b.classes[0], TimedOut)
		for range 3 {
			b.outliers.record(well, b.classes[0], OK)
		}
	}
	if w := b.weight(start, ill, b.classes[2]); w > b.weight(start, well, b.classes[2])/5 {
		t.Errorf("a silent server keeps weight %v for the other classes", w)
	}
}

// TestOutlierDetectorExcusesFailuresOfAll has all endpoints fail alike, as they do when a deeper tier fails.
func TestOutlierDetectorExcusesFailuresOfAll(t *testing.T) {
	b, _ := with(t, testSettings(), 4)
	for range 100 {
		for _, s := range b.endpoints.all {
			b.outliers.record(s, b.classes[0], Error)
		}
	}
	for _, s := range b.endpoints.all {
		if b.outliers.record(s, b.classes[0], Error) {
			t.Errorf("%s is blamed for what its peers show", s.ID)
		}
	}
}

// TestOutlierDetectorBlamesFailedConnection has all endpoints refuse connections, as they do when a zone is lost.
func TestOutlierDetectorBlamesFailedConnection(t *testing.T) {
	b, _ := with(t, testSettings(), 8)
	for range 5 {
		for _, s := range b.endpoints.all {
			if !b.outliers.record(s, b.classes[0], ConnectFailed) {
				t.Fatalf("%s is not blamed for a refused connection", s.ID)
			}
		}
	}
}
