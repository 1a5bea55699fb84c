package message

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"
)

func TestReadBufferedReadsCompleteBodiesOnly(t *testing.T) {
	const notAnnounced = -1
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		size, length int64 // actual and announced length of the body in bytes
		end          error // error after the body; nil means io.EOF
		until        time.Time
		complete     bool
		err          error
	}{
		"empty":              {size: 0, length: 0, complete: true},
		"announced":          {size: 10_000, length: 10_000, complete: true},
		"not announced":      {size: 10_000, length: notAnnounced, complete: true},
		"longest":            {size: MaxBuffered, length: MaxBuffered, complete: true},
		"announced too long": {size: MaxBuffered + 1, length: MaxBuffered + 1},
		"too long":           {size: MaxBuffered + 1, length: notAnnounced},
		"late":               {size: 10_000, length: notAnnounced, until: time.Unix(1, 0)},
		"shorter":            {size: 5, length: 10, err: io.EOF},
		"broken":             {size: 5, length: 10, end: broken, err: broken},
	} {
		t.Run(name, func(t *testing.T) {
			want := bytes.Repeat([]byte("x"), int(c.size))
			var reader io.Reader = bytes.NewReader(want)
			if c.end != nil {
				reader = io.MultiReader(reader, iotest.ErrReader(c.end))
			}
			budget := NewBodyBudget()
			budget.SetLimit(0)
			body, complete, err := ReadBuffered(reader, c.length, budget.Reserve(), c.until)
			if complete != c.complete || !errors.Is(err, c.err) {
				t.Fatalf("complete %v, %v; want %v, %v", complete, err, c.complete, c.err)
			}
			rest, _ := io.ReadAll(reader)
			if got := append(body, rest...); !bytes.Equal(got, want) {
				t.Errorf("body and rest have %d bytes, want %d", len(got), len(want))
			}
			if complete && len(rest) > 0 {
				t.Errorf("%d bytes follow a complete body", len(rest))
			}
			if used := budget.InUse(); used < int64(len(body)) {
				t.Errorf("%d bytes are reserved for a body of %d", used, len(body))
			}
		})
	}
}

func TestReadBufferedStopsAtBudget(t *testing.T) {
	budget := NewBodyBudget()
	budget.SetLimit(0)
	all := budget.Reserve()
	if !all.Grow(budget.Limit()) {
		t.Fatal("cannot reserve the whole budget")
	}
	body, complete, err := ReadBuffered(bytes.NewReader(make([]byte, 100)), 100, budget.Reserve(), time.Time{})
	if len(body) != 0 || complete || err != nil {
		t.Errorf("got %d bytes, complete %v, %v", len(body), complete, err)
	}
}
