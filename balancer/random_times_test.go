package balancer

import "math/rand/v2"

// drawTime draws a time in [0, most).
func drawTime(rnd *rand.Rand, most Microseconds) Microseconds {
	return Microseconds(rnd.Int64N(int64(most)))
}
