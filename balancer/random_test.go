package balancer

import (
	"fmt"
	"slices"
	"testing"
)

// reportViolations reports the first few rule violations of a sequence.
func reportViolations(t *testing.T, violations []string) {
	t.Helper()
	for _, violation := range violations[:min(3, len(violations))] {
		t.Error(violation)
	}
}

func TestBalancerKeepsRulesInRandomSequences(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(24) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			actions, violations := runRandomEvents(t, seed, 6000, nil)
			reportViolations(t, violations)
			for _, action := range actions {
				var at Microseconds
				var kind string
				fmt.Sscanf(action, "%d %s", &at, &kind)
				counts[kind]++
			}
		})
	}
	for _, kind := range []string{"send", "reject", "fail"} {
		if counts[kind] < 1000 {
			t.Errorf("only %d actions %q: the sequences test too little", counts[kind], kind)
		}
	}
}

func TestBalancerIsDeterministic(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			first, _ := runRandomEvents(t, seed, 3000, nil)
			again, _ := runRandomEvents(t, seed, 3000, nil)
			if !slices.Equal(first, again) {
				t.Error("two runs with the same seed differ")
			}
		})
	}
}
