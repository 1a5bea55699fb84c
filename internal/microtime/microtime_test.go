package microtime

import (
	"testing"
	"time"
)

func TestFromDurationRoundsTowardsZero(t *testing.T) {
	for duration, want := range map[time.Duration]Microseconds{
		0:                       0,
		time.Second:             1_000_000,
		1999 * time.Nanosecond:  1,
		-1999 * time.Nanosecond: -1,
	} {
		if got := FromDuration(duration); got != want {
			t.Errorf("%v: got %d, want %d", duration, got, want)
		}
	}
}

func TestDurationInvertsFromDuration(t *testing.T) {
	for _, want := range []time.Duration{0, time.Microsecond, -time.Hour, 26 * time.Hour} {
		if got := FromDuration(want).Duration(); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
}
