package upstream

import (
	"context"
	"time"
)

// dialRace opens a connection with up to maxRacingDials concurrent dials to the same endpoint. Nothing is written until
// a dial has succeeded, so racing is safe for requests of every class.
type dialRace struct {
	target  Target
	results chan dialResult // one for each dial; buffers all results, so that no dial goroutine blocks on sending
	started int
	pending int
}

type dialResult struct {
	conn *conn
	err  error
}

// connect returns a connection to the target: a new one, or one that becomes idle during the dial. It hedges a slow
// dial with another dial. Connections that are established after the first one go to the pool as idle connections, and
// the pool owns the goroutine that waits for them. If connect returns an error, no dial is left running.
func (t Target) connect(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &dialRace{target: t, results: make(chan dialResult, maxRacingDials)}
	c, err := r.run(ctx, dialCtx)
	if err != nil {
		cancel()
		r.poolLateConns(cancel)
		return nil, err
	}
	t.pool.lateDials.Go(func() { r.poolLateConns(cancel) })
	return c, nil
}

// run starts the dials and returns the result of the first one that ends, or an idle connection if there is one when
// the hedge delay expires. The dials use dialCtx because they may outlive ctx.
func (r *dialRace) run(ctx, dialCtx context.Context) (*conn, error) {
	pool, zone := r.target.pool, r.target.zone()
	delay := pool.hedging.beginRace(zone)
	hedgeTimer := time.NewTimer(delay)
	defer hedgeTimer.Stop()
	r.dial(dialCtx, zone)
	for {
		select {
		case result := <-r.results:
			r.pending--
			return result.conn, result.err // if one dial fails, the pending dials are not waited for
		case <-hedgeTimer.C:
			if c := r.target.reuse(); c != nil {
				return c, nil
			}
			if r.started < maxRacingDials && pool.hasCapacity() && pool.hedging.allow() {
				r.dial(dialCtx, zone)
			}
			hedgeTimer.Reset(delay)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dial starts another dial. run or poolLateConns receives its result.
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

// poolLateConns waits for the pending dials and puts their connections into the pool. It calls cancel, which ends the
// dials, when the pool closes and before it returns.
func (r *dialRace) poolLateConns(cancel context.CancelFunc) {
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
