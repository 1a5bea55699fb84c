package latency

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"baylock/internal/scale"
	"baylock/internal/scale/traffic"
)

const (
	callTimeout = 2000 // milliseconds
	// Times are kept in nanoseconds to three digits, up to twice the time-out.
	lowestTime  = 1
	highestTime = 2 * callTimeout * int64(time.Millisecond)
	timeDigits  = 3
	// Warm-up draws its arrivals from streams that no block has.
	warmUpStream = 1 << 32
)

// times are the times of calls.
type times struct {
	mu        sync.Mutex
	calls     *hdrhistogram.Histogram // from the intended instant to the last byte, of those that were served
	lateness  *hdrhistogram.Histogram // from the intended instant to the beginning: the load generator's own
	notServed int
	failure   error // of the first call that was not served
}

func newTimes() *times {
	return &times{calls: hdrhistogram.New(lowestTime, highestTime, timeDigits),
		lateness: hdrhistogram.New(lowestTime, highestTime, timeDigits)}
}

// record takes in one call.
func (t *times) record(intended, began, ended time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	recordTime(t.lateness, began.Sub(intended))
	if err != nil {
		t.notServed++
		t.failure = cmp.Or(t.failure, err)
		return
	}
	recordTime(t.calls, ended.Sub(intended))
}

func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), lowestTime), highestTime)) // within the range it takes everything
}

// measurement is what a stage gave.
type measurement struct {
	direct, through *times
	busy            float64 // part of one core that the proxies used while calls came through them
}

// perform measures one stage.
func perform(ctx context.Context, env scale.Env, p plan, s stage, cores []int) (*measurement, error) {
	b := builder{env: env, depth: s.depth, listed: p.listed, cores: cores}
	direct, err := b.direct()
	if err != nil {
		return nil, err
	}
	defer direct.close()
	through, err := b.proxied(ctx)
	if err != nil {
		return nil, err
	}
	defer through.close()
	for i, c := range []*chain{direct, through} {
		l := load{env: env, stage: s, client: c.client, into: newTimes()}
		if err := l.block(ctx, warmUpStream+i, p.warmUp); err != nil {
			return nil, fmt.Errorf("warm-up: %w", err)
		}
	}
	return inTurn(ctx, env, p, s, direct, through)
}

// inTurn makes blocks of calls directly and through the proxies.
func inTurn(ctx context.Context, env scale.Env, p plan, s stage, direct, through *chain) (*measurement, error) {
	m := &measurement{direct: newTimes(), through: newTimes()}
	directLoad := load{env: env, stage: s, client: direct.client, into: m.direct}
	throughLoad := load{env: env, stage: s, client: through.client, into: m.through}
	var cpu, elapsed time.Duration
	for block := range s.blocks {
		env.Progress("%s: block %d of %d", s.name(), block+1, s.blocks)
		if err := directLoad.block(ctx, block, p.block); err != nil {
			return nil, err
		}
		before, err := through.cpu()
		if err != nil {
			return nil, err
		}
		began := time.Now()
		if err := throughLoad.block(ctx, block, p.block); err != nil {
			return nil, err
		}
		elapsed += time.Since(began)
		after, err := through.cpu()
		if err != nil {
			return nil, err
		}
		cpu += after - before
	}
	m.busy = cpu.Seconds() / elapsed.Seconds()
	return m, errors.Join(m.direct.check(), m.through.check())
}

// check tells if no call was served.
func (t *times) check() error {
	if t.calls.TotalCount() > 0 {
		return nil
	}
	return errors.Join(errors.New("no call was served"), t.failure)
}

// load makes the calls of a stage at one place.
type load struct {
	env    scale.Env
	stage  stage
	client *traffic.Client
	into   *times
}

// block makes calls for a while. Blocks of one number have the same arrivals.
func (l load) block(ctx context.Context, number int, length time.Duration) error {
	random := rand.New(rand.NewPCG(l.env.Seed, uint64(number)))
	_, err := traffic.OpenLoop(ctx, l.stage.rate, length, random, func(call int, intended time.Time) {
		began := time.Now()
		err := l.client.Call(traffic.Call{ID: fmt.Sprintf("b%d-%d", number, call), Class: scale.ReadClass,
			Tenant: scale.TenantA, TimeoutMs: callTimeout})
		l.into.record(intended, began, time.Now(), err)
	})
	return err
}
