package balancer

import (
	"testing"
)

func TestZonePreferenceFollowsOwnZone(t *testing.T) {
	b, _ := with(t, testSettings(), 8)
	home := b.weight(start, b.endpoints.byID["s0"], b.classes[0])
	now := start
	feed := func(n int, bad bool) {
		for range n {
			now++
			b.applyPressure(now, b.classes[0], &attempt{class: &b.settings.Classes[0], sentAt: now, zone: b.settings.Zone}, pressure{slow: bad, speed: speedOf(false, !bad)})
		}
	}
	feed(60*minRoundSamples, false)
	if away := b.weight(start, b.endpoints.byID["s2"], b.classes[0]); away > home/10 {
		t.Errorf("a calm home leaves %.3f of the weight to other zones", away/home)
	}
	feed(20*minRoundSamples, true)
	if away := b.weight(start, b.endpoints.byID["s2"], b.classes[0]); away < home/2 {
		t.Errorf("a home in trouble leaves %.3f of the weight to other zones", away/home)
	}
}
