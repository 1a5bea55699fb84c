package upstream

import (
	"context"
	"time"
)

// dialRace opens one connection by up to maxRacingDials dials to the same endpoint. Nothing is written before one of
// them has succeeded, so that requests of every class may race.
type dialRace struct {
	target  Target
	results chan dialResult // one for each dial; holds all, so that no dial waits for a reader
	started int
	pending int
}

type dialResult struct {
	conn *conn
	err  error
}

// connect returns a connection to the target: a dialed one, or one that becomes idle meanwhile. A dial that is late is
// hedged by another one. Connections that come up after the first become idle; the pool owns the goroutine that waits
// for them. After an error nothing of the race is left.
func (t Target) connect(ctx context.Context) (*conn, error) {
	dialing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &dialRace{target: t, results: make(chan dialResult, maxRacingDials)}
	c, err := r.run(ctx, dialing)
	if err != nil {
		cancel()
		r.keepLate(cancel)
		return nil, err
	}
	t.pool.lateDials.Go(func() { r.keepLate(cancel) })
	return c, nil
}

// run waits for the first connection or refusal. Dials have a context of their own, as they may outlive ctx.
func (r *dialRace) run(ctx, dialing context.Context) (*conn, error) {
	pool, zone := r.target.pool, r.target.zone()
	delay := pool.hedging.begin(zone)
	late := time.NewTimer(delay)
	defer late.Stop()
	r.dial(dialing, zone)
	for {
		select {
		case result := <-r.results:
			r.pending--
			return result.conn, result.err // an endpoint that refuses one dial is not waited for
		case <-late.C:
			if c := r.target.reuse(); c != nil {
				return c, nil
			}
			if r.started < maxRacingDials && pool.hasCapacity() && pool.hedging.allow() {
				r.dial(dialing, zone)
			}
			late.Reset(delay)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dial starts one more dial. keepLate or run receives its result.
func (r *dialRace) dial(ctx context.Context, zone string) {
	r.started++
	r.pending++
	go func() {
		start := time.Now()
		c, err := r.target.dial(ctx)
		if err == nil {
			r.target.pool.hedging.observe(zone, time.Since(start))
		}
		r.results <- dialResult{c, err}
	}()
}

// keepLate waits for the pending dials and puts their connections into the pool. cancel ends the dials; it is called
// once the pool closes, and at the end.
func (r *dialRace) keepLate(cancel context.CancelFunc) {
	defer cancel()
	for closed := r.target.pool.closed; r.pending > 0; {
		select {
		case result := <-r.results:
			r.pending--
			if result.err == nil {
				r.target.pool.put(result.conn)
			}
		case <-closed:
			cancel()
			closed = nil
		}
	}
}
