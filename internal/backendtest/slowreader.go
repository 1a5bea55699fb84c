package backendtest

import (
	"io"
	"time"
)

// slowReadInterval is the pause between two reads of ReadSlowly.
const slowReadInterval = 100 * time.Millisecond

// ReadSlowly reads for a time at a rate in bytes per second, and then reads the rest as fast as it can. It returns what it
// has read up to the end or the first error.
func ReadSlowly(r io.Reader, bytesPerSecond int, slowTime time.Duration) (read []byte, err error) {
	piece := make([]byte, int(float64(bytesPerSecond)*slowReadInterval.Seconds()))
	for end := time.Now().Add(slowTime); time.Now().Before(end); time.Sleep(slowReadInterval) {
		n, err := io.ReadFull(r, piece)
		read = append(read, piece[:n]...)
		if err != nil {
			return read, err
		}
	}
	rest, err := io.ReadAll(r)
	return append(read, rest...), err
}
