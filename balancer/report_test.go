package balancer

import "testing"

func TestReportLogsCutQuotasEveryTenSeconds(t *testing.T) {
	b, h := newWithEndpoints(t, testSettings(), 2)
	b.report(testStart, h)
	if len(h.actions) != 0 {
		t.Fatalf("logged although quotas are not reduced: %q", h.actions)
	}
	b.quotas.multiplier = 0.5
	for i := range Microseconds(25) {
		b.report(testStart+i*second, h)
	}
	if len(h.actions) != 3 {
		t.Errorf("%d log lines in 25 s, want one every 10 s", len(h.actions))
	}
}
