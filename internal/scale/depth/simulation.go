package depth

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"baylock/internal/emulator/backend"
	"baylock/internal/emulator/hollow"
	"baylock/internal/timing"
)

// size holds the size and load of a chain, and the durations of the parts of a simulation in whole seconds.
type size struct {
	tiers        int
	backends     int           // in each tier
	frontProxies int           // in front of the first tier
	rate         float64       // user calls per second, through all front proxies
	settle       time.Duration // before the fault
	fault        time.Duration
	recovery     time.Duration // after the fault

	longRecovery time.Duration // replaces recovery in cases with totalFailure
}

func (s size) end() time.Duration { return s.settle + s.fault + s.recovery }

// The fractions of calls by class. The rest is not idempotent.
const (
	idempotentRatio = 0.8
	keyedRatio      = 0.1
)

const sampleInterval = time.Second

// userCall is one call of a user.
type userCall struct {
	start   time.Duration // since the start of the simulation
	class   int
	outcome hollow.Outcome
	inTime  bool // served before its deadline
}

// sample holds the counts at one time.
type sample struct {
	at              time.Duration // since the start of the simulation
	calls           int           // user calls so far
	arrivalsByTier  []int64       // attempts at each tier so far
	arrivalsByClass []int64       // attempts at the deepest tier so far
}

// recording holds the user calls and the counts of one simulation.
type recording struct {
	calls   []*userCall // in order of their start
	samples []sample
	counts  []backend.Counts // of each tier, at the end
}

// simulation runs a chain with user calls.
type simulation struct {
	size
	chain        *chain
	random       *rand.Rand
	start        time.Time
	recording    recording
	pendingCalls sync.WaitGroup // calls that have not been answered
}

// simulate runs a new chain whose deepest tier has the given faults for a while, and returns the recording.
func simulate(ctx context.Context, s size, faults backend.Faults, seed uint64) (*recording, error) {
	c, err := newChain(s, seed)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	var proxies sync.WaitGroup
	proxies.Go(func() { c.run(ctx) })
	sim := &simulation{size: s, chain: c, random: rand.New(rand.NewPCG(seed, 1)), start: time.Now()}
	err = sim.runSchedule(ctx, faults)
	sim.pendingCalls.Wait()
	stop()
	proxies.Wait()
	if err != nil {
		return nil, fmt.Errorf("simulate a chain: %w", err)
	}
	for _, t := range c.tiers {
		sim.recording.counts = append(sim.recording.counts, t.Counts())
	}
	return &sim.recording, nil
}

// runSchedule makes the calls, takes the samples, and begins and ends the faults.
func (sim *simulation) runSchedule(ctx context.Context, faults backend.Faults) error {
	next := sim.nextInterval()
	for tick := time.Duration(0); tick <= sim.end(); tick += sampleInterval {
		for ; next < tick; next += sim.nextInterval() {
			if err := sim.waitUntil(ctx, next); err != nil {
				return err
			}
			sim.call(ctx)
		}
		if err := sim.waitUntil(ctx, tick); err != nil {
			return err
		}
		if err := sim.updateFaults(tick, faults); err != nil {
			return err
		}
		sim.sample()
	}
	return nil
}

// nextInterval returns a random time until the next call. The calls are a Poisson process.
func (sim *simulation) nextInterval() time.Duration {
	return time.Duration(sim.random.ExpFloat64() / sim.rate * float64(time.Second))
}

// waitUntil waits until the given time since the start. It returns an error if the context has ended.
func (sim *simulation) waitUntil(ctx context.Context, at time.Duration) error {
	return timing.Wait(ctx, time.Until(sim.start.Add(at)))
}

// updateFaults begins or ends the faults if that is due at the given tick.
func (sim *simulation) updateFaults(tick time.Duration, faults backend.Faults) error {
	switch tick {
	case sim.settle:
		return sim.chain.deepestTier().SetFaults(faults)
	case sim.settle + sim.fault:
		return sim.chain.deepestTier().SetFaults(backend.Faults{})
	}
	return nil
}

func (sim *simulation) sample() {
	s := sample{at: time.Since(sim.start), calls: len(sim.recording.calls)}
	for _, t := range sim.chain.tiers {
		counts := t.Counts()
		s.arrivalsByTier = append(s.arrivalsByTier, counts.Arrivals)
		s.arrivalsByClass = counts.ArrivalsByClass // the last assignment is that of the deepest tier
	}
	sim.recording.samples = append(sim.recording.samples, s)
}

// call makes one call through a random front proxy.
func (sim *simulation) call(ctx context.Context) {
	u := &userCall{start: time.Since(sim.start), class: sim.randomClass()}
	front := sim.chain.frontProxies[sim.random.IntN(len(sim.chain.frontProxies))]
	sim.recording.calls = append(sim.recording.calls, u)
	deadline := sim.start.Add(u.start + classes[u.class].Deadline.Duration())
	call := hollow.Call{ID: "user/" + strconv.Itoa(len(sim.recording.calls)), Class: u.class, Deadline: deadline, Depth: 1}
	sim.pendingCalls.Go(func() {
		u.outcome = front.Call(ctx, call).Outcome
		u.inTime = u.outcome == hollow.Served && !time.Now().After(deadline)
	})
}

func (sim *simulation) randomClass() int {
	x := sim.random.Float64()
	switch {
	case x < idempotentRatio:
		return idempotentClass
	case x < idempotentRatio+keyedRatio:
		return keyedClass
	}
	return nonIdempotentClass
}

// between returns the calls that started at from or later, and before to.
func (r *recording) between(from, to time.Duration) []*userCall {
	first, _ := slices.BinarySearchFunc(r.calls, from, compareStart)
	end, _ := slices.BinarySearchFunc(r.calls, to, compareStart)
	return r.calls[first:end]
}

func compareStart(u *userCall, at time.Duration) int { return int(u.start - at) }
