package proxy

import (
	"log/slog"
	"time"

	"baylock/internal/message"
	"baylock/internal/operatorstate"
)

const (
	// departureRetention is how long the ID of a departed client's request stays taken.
	departureRetention = 30 * time.Second

	// departuresPerMB is how many IDs are kept for each MB of the memory limit. If there are more, the oldest are dropped.
	departuresPerMB = 128

	departureLogInterval = time.Second // between two logged failures
)

// departures holds the IDs of requests that may have run and whose clients have left. Such an ID stays taken, because the
// request would run twice if it came again. Other processes of this proxy share them through a log. Only the event loop uses a
// departures.
type departures struct {
	max      int
	requests map[operatorstate.RequestHash]time.Time // when each client left
	order    []operatorstate.RequestHash             // the oldest first
	shared   *operatorstate.DepartureLog             // nil if no other process shares it
	log      *slog.Logger
	loggedAt time.Time // when a failure was logged last
}

func newDepartures(memoryMB float64, log *slog.Logger) *departures {
	d := &departures{requests: map[operatorstate.RequestHash]time.Time{}, log: log}
	d.setMemoryLimit(memoryMB)
	return d
}

// setMemoryLimit derives the maximum number of IDs from the process's memory limit in MB; 0 means that no limit is set.
func (d *departures) setMemoryLimit(memoryMB float64) {
	if memoryMB == 0 {
		memoryMB = message.DefaultMemoryMB
	}
	d.max = max(1, int(memoryMB*departuresPerMB))
}

// share makes d share its IDs with the other processes of this proxy, and loads theirs.
func (d *departures) share(store *operatorstate.Store) {
	shared, err := store.OpenDepartures()
	if err != nil || shared == nil {
		d.logFailure(err)
		return
	}
	d.shared = shared
	earlier, err := shared.LoadAll()
	d.logFailure(err)
	d.keepAll(earlier)
}

// add records that the client of a request has left.
func (d *departures) add(id string) {
	departure := operatorstate.Departure{Request: operatorstate.HashRequestID(id), At: time.Now()}
	if _, known := d.requests[departure.Request]; known {
		return
	}
	d.keep(departure.Request, departure.At)
	if d.shared != nil {
		d.logFailure(d.shared.Append(departure))
	}
}

// contains reports whether the ID of a request is taken.
func (d *departures) contains(id string) bool {
	if d.shared != nil {
		added, err := d.shared.ReadPeers()
		d.logFailure(err)
		d.keepAll(added)
	}
	if len(d.requests) == 0 {
		return false
	}
	at, known := d.requests[operatorstate.HashRequestID(id)]
	return known && time.Since(at) < departureRetention
}

// updatePeers finds out which other processes of this proxy are running.
func (d *departures) updatePeers() {
	if d.shared != nil {
		d.logFailure(d.shared.UpdatePeers())
	}
}

// keepAll keeps departures that other processes have recorded. Their times are not comparable after a step of the wall clock.
func (d *departures) keepAll(departures []operatorstate.Departure) {
	now := time.Now()
	for _, departure := range departures {
		if _, known := d.requests[departure.Request]; !known && now.Sub(departure.At).Abs() < departureRetention {
			d.keep(departure.Request, now)
		}
	}
}

func (d *departures) keep(request operatorstate.RequestHash, at time.Time) {
	d.requests[request] = at
	d.order = append(d.order, request)
	for len(d.order) > d.max || at.Sub(d.requests[d.order[0]]) >= departureRetention {
		delete(d.requests, d.order[0])
		d.order = d.order[1:]
	}
}

func (d *departures) close() {
	if d.shared != nil {
		d.shared.Close()
	}
}

func (d *departures) logFailure(err error) {
	if now := time.Now(); err != nil && now.Sub(d.loggedAt) >= departureLogInterval {
		d.loggedAt = now
		d.log.Error("cannot share the IDs of departed clients", "error", err)
	}
}
