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
	callTimeout = 2000 // in milliseconds
	// Durations are recorded in nanoseconds with three digits, up to twice the timeout.
	lowestTime        = 1
	highestTime       = 2 * callTimeout * int64(time.Millisecond)
	significantDigits = 3
	// The random stream of the warm-up, which no block uses.
	warmUpStream = 1 << 32
)

// callTimes records the durations of calls.
type callTimes struct {
	mu         sync.Mutex
	calls      *hdrhistogram.Histogram // of served calls, from the intended start to the last byte
	lateness   *hdrhistogram.Histogram // from the intended to the actual start, due to the load generator
	failed     int
	firstError error // of the first call that failed
}

func newTimes() *callTimes {
	return &callTimes{calls: hdrhistogram.New(lowestTime, highestTime, significantDigits),
		lateness: hdrhistogram.New(lowestTime, highestTime, significantDigits)}
}

// record records one call.
func (t *callTimes) record(intended, began, ended time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	recordTime(t.lateness, began.Sub(intended))
	if err != nil {
		t.failed++
		t.firstError = cmp.Or(t.firstError, err)
		return
	}
	recordTime(t.calls, ended.Sub(intended))
}

func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), lowestTime), highestTime)) // the value is in range
}

// measurement is the result of a stage.
type measurement struct {
	direct, through *callTimes
	proxyCores      float64 // CPU time of the proxies, in cores, while calls came through them
}

// measureStage measures one stage.
func measureStage(ctx context.Context, env scale.Env, p plan, s stage, cores []int) (*measurement, error) {
	b := chainBuilder{env: env, depth: s.depth, listSize: p.listSize, cores: cores}
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
		l := loadGenerator{env: env, stage: s, client: c.client, times: newTimes()}
		if err := l.runBlock(ctx, warmUpStream+i, p.warmUp); err != nil {
			return nil, fmt.Errorf("warm-up: %w", err)
		}
	}
	return alternate(ctx, env, p, s, direct, through)
}

// alternate runs blocks of direct calls and of calls through the proxies in turn.
func alternate(ctx context.Context, env scale.Env, p plan, s stage, direct, through *chain) (*measurement, error) {
	m := &measurement{direct: newTimes(), through: newTimes()}
	directLoad := loadGenerator{env: env, stage: s, client: direct.client, times: m.direct}
	throughLoad := loadGenerator{env: env, stage: s, client: through.client, times: m.through}
	var cpu, elapsed time.Duration
	for block := range s.blocks {
		env.Progress("%s: block %d of %d", s.name(), block+1, s.blocks)
		if err := directLoad.runBlock(ctx, block, p.block); err != nil {
			return nil, err
		}
		before, err := through.cpu()
		if err != nil {
			return nil, err
		}
		began := time.Now()
		if err := throughLoad.runBlock(ctx, block, p.block); err != nil {
			return nil, err
		}
		elapsed += time.Since(began)
		after, err := through.cpu()
		if err != nil {
			return nil, err
		}
		cpu += after - before
	}
	m.proxyCores = cpu.Seconds() / elapsed.Seconds()
	return m, errors.Join(m.direct.check(), m.through.check())
}

// check returns an error if no call was served.
func (t *callTimes) check() error {
	if t.calls.TotalCount() > 0 {
		return nil
	}
	return errors.Join(errors.New("no call was served"), t.firstError)
}

// loadGenerator generates the calls of a stage with one client.
type loadGenerator struct {
	env    scale.Env
	stage  stage
	client *traffic.Client
	times  *callTimes
}

// runBlock generates calls for a while. Blocks with the same number have the same arrivals.
func (l loadGenerator) runBlock(ctx context.Context, number int, length time.Duration) error {
	random := rand.New(rand.NewPCG(l.env.Seed, uint64(number)))
	_, err := traffic.OpenLoop(ctx, l.stage.rate, length, random, func(call int, intended time.Time) {
		began := time.Now()
		err := l.client.Call(traffic.Call{ID: fmt.Sprintf("b%d-%d", number, call), Class: scale.ReadClass,
			Tenant: scale.TenantA, TimeoutMs: callTimeout})
		l.times.record(intended, began, time.Now(), err)
	})
	return err
}
