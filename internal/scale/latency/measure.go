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
	callTimeoutMs = 2000
	// Durations are recorded in nanoseconds with three significant digits, up to twice the timeout.
	lowestTime        = 1
	highestTime       = 2 * callTimeoutMs * int64(time.Millisecond)
	significantDigits = 3
	// The first random stream of the warm-up. Blocks use streams from 0 on, so they never share one with it.
	warmUpStream = 1 << 32
)

// callTimes records the durations of calls.
type callTimes struct {
	mu         sync.Mutex
	calls      *hdrhistogram.Histogram // of served calls: time from the intended start to the last byte
	lateness   *hdrhistogram.Histogram // of all calls: time by which the load generator started them late
	failed     int
	firstError error // error of the first failed call
}

func newCallTimes() *callTimes {
	return &callTimes{calls: hdrhistogram.New(lowestTime, highestTime, significantDigits),
		lateness: hdrhistogram.New(lowestTime, highestTime, significantDigits)}
}

// record records one call that was served, or that failed with err.
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
	_ = h.RecordValue(min(max(int64(d), lowestTime), highestTime)) // cannot fail, as the value is in range
}

// measurement holds the results of a stage.
type measurement struct {
	direct, proxied *callTimes
	proxyCores      float64 // mean CPU use of all proxies together, in cores, during the calls through them
}

// measureStage builds both chains, warms them up and measures one stage.
func measureStage(ctx context.Context, env scale.Env, p plan, s stage, cores []int) (*measurement, error) {
	b := chainBuilder{env: env, depth: s.depth, listSize: p.listSize, cores: cores}
	direct, err := b.buildDirect()
	if err != nil {
		return nil, err
	}
	defer direct.close()
	proxied, err := b.buildProxied(ctx)
	if err != nil {
		return nil, err
	}
	defer proxied.close()
	for i, c := range []*chain{direct, proxied} {
		l := loadGenerator{env: env, stage: s, client: c.client, times: newCallTimes()}
		if err := l.runBlock(ctx, warmUpStream+i, p.warmUp); err != nil {
			return nil, fmt.Errorf("warm-up: %w", err)
		}
	}
	return runAlternating(ctx, env, p, s, direct, proxied)
}

// runAlternating runs blocks of direct calls and blocks of calls through the proxies alternately.
func runAlternating(
	ctx context.Context, env scale.Env, p plan, s stage, direct, proxied *chain,
) (*measurement, error) {
	m := &measurement{direct: newCallTimes(), proxied: newCallTimes()}
	directLoad := loadGenerator{env: env, stage: s, client: direct.client, times: m.direct}
	proxiedLoad := loadGenerator{env: env, stage: s, client: proxied.client, times: m.proxied}
	var cpu, elapsed time.Duration
	for block := range s.blocks {
		env.Progress("%s: block %d of %d", s.name(), block+1, s.blocks)
		if err := directLoad.runBlock(ctx, block, p.blockDuration); err != nil {
			return nil, err
		}
		before, err := proxied.cpu()
		if err != nil {
			return nil, err
		}
		began := time.Now()
		if err := proxiedLoad.runBlock(ctx, block, p.blockDuration); err != nil {
			return nil, err
		}
		elapsed += time.Since(began)
		after, err := proxied.cpu()
		if err != nil {
			return nil, err
		}
		cpu += after - before
	}
	m.proxyCores = cpu.Seconds() / elapsed.Seconds()
	return m, errors.Join(m.direct.checkServed(), m.proxied.checkServed())
}

// checkServed returns an error if no call was served.
func (t *callTimes) checkServed() error {
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

// runBlock generates calls for the given duration. Blocks with the same number have the same arrival times.
func (l loadGenerator) runBlock(ctx context.Context, number int, length time.Duration) error {
	random := rand.New(rand.NewPCG(l.env.Seed, uint64(number)))
	_, err := traffic.OpenLoop(ctx, l.stage.rate, length, random, func(call int, intended time.Time) {
		began := time.Now()
		err := l.client.Call(traffic.Call{ID: fmt.Sprintf("b%d-%d", number, call), Class: scale.ReadClass,
			Tenant: scale.TenantA, TimeoutMs: callTimeoutMs})
		l.times.record(intended, began, time.Now(), err)
	})
	return err
}
