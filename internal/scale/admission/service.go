package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"fernlanding/internal/discovery"
	"fernlanding/internal/emulator/backend"
	"fernlanding/internal/emulator/hollow"
	"fernlanding/internal/timing"
	"fernlanding/logic"
)

const (
	work     = 20 * time.Millisecond // mean of a call's work
	latency  = 200 * time.Microsecond
	workers  = 4
	queue    = 200 // a second of work
	deadline = 500 * time.Millisecond
	aim      = 400 * time.Millisecond
	zone     = "zone"
)

// backendRate is the calls a second that a backend does.
var backendRate = workers / work.Seconds()

var classes = []logic.Class{{Aim: aim.Microseconds(), Deadline: deadline.Microseconds(), Worth: 1, LateWorth: 0.25,
	Repeat: logic.Safe}}

// service is backends and the proxies whose calls they get.
type service struct {
	tier    *backend.Tier
	callers []*hollow.Proxy // that call all the time
	surge   []*hollow.Proxy // that call during the overload only
	endRush context.CancelFunc
	answers answers
}

// tally is what callers were answered.
type tally struct{ served, unsent, others int64 }

func (t tally) calls() int64 { return t.served + t.unsent + t.others }

func (t tally) since(before tally) tally {
	return tally{t.served - before.served, t.unsent - before.unsent, t.others - before.others}
}

// answers counts the answers that callers get.
type answers struct{ served, unsent, others atomic.Int64 }

func (a *answers) add(_ hollow.Call, result hollow.Result) {
	switch {
	case result.Outcome == hollow.Served:
		a.served.Add(1)
	case result.Outcome == hollow.Refused && result.Attempts == 0:
		a.unsent.Add(1)
	default:
		a.others.Add(1)
	}
}

func (a *answers) tally() tally { return tally{a.served.Load(), a.unsent.Load(), a.others.Load()} }

func newService(s size, c circumstances, seed uint64) (*service, error) {
	seeds := rand.New(rand.NewPCG(seed, 0))
	svc := &service{}
	var names []string
	list := &discovery.List{Index: 1, Snapshot: true}
	for i := range s.backends {
		name := fmt.Sprintf("backend-%d", i)
		names = append(names, name)
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: name, Address: name + ":80", Zone: zone,
			Status: discovery.Serving})
	}
	var err error
	svc.tier, err = backend.New(backend.Config{Names: names, Classes: classes, Work: work, Latency: latency,
		Workers: workers, Queue: queue, Crowded: c.crowded, Seed: seeds.Uint64()})
	if err != nil {
		return nil, err
	}
	if err := svc.tier.SetFaults(c.faults); err != nil {
		return nil, err
	}
	capacity := backendRate * float64(s.backends)
	if svc.callers, err = svc.proxies("proxy", s.callers, c.load*capacity, s, list, seeds); err != nil {
		return nil, err
	}
	if c.surge > 0 {
		svc.surge, err = svc.proxies("surge", s.callers, c.surge*capacity, s, list, seeds)
	}
	return svc, err
}

// proxies makes some that together draw calls at a rate.
func (svc *service) proxies(name string, count int, rate float64, s size, list *discovery.List, seeds *rand.Rand) (
	made []*hollow.Proxy, err error) {
	capacity := backendRate * float64(s.backends)
	for i := range count {
		p, err := hollow.New(hollow.Config{Name: fmt.Sprintf("%s-%d", name, i), Zones: []string{zone}, Seed: seeds.Uint64(),
			Upstream: svc.tier, Known: list,
			Settings: logic.Settings{Siblings: s.callers, Ordinal: i, Zones: 1, Classes: classes,
				Tenants: []logic.Tenant{{Portion: 1, Quota: capacity}}, MaxAttempts: 4,
				MaxRetryAfter: time.Second.Microseconds(), DrainGrace: deadline.Microseconds(), StartCapacity: 1},
			CallsPerSecond: rate / float64(count), Answered: svc.answers.add})
		if err != nil {
			return nil, err
		}
		made = append(made, p)
	}
	return made, nil
}

// start runs the proxies until the context ends, those of the surge until endRush. It returns what waits for their ends.
func (svc *service) start(ctx context.Context) (wait func()) {
	var running sync.WaitGroup
	for _, p := range svc.callers {
		running.Go(func() { p.Run(ctx) })
	}
	var rush context.Context
	rush, svc.endRush = context.WithCancel(ctx)
	for _, p := range svc.surge {
		running.Go(func() { p.Run(rush) })
	}
	return running.Wait
}

// watch drives the service and returns the answers of the watched time.
func (svc *service) watch(ctx context.Context, s size, c circumstances) (tally, error) {
	defer svc.endRush()
	if err := timing.Wait(ctx, s.warmUp); err != nil {
		return tally{}, err
	}
	if c.surge > 0 {
		if err := timing.Wait(ctx, s.overload); err != nil {
			return tally{}, err
		}
		svc.endRush()
		if err := timing.Wait(ctx, s.settle); err != nil {
			return tally{}, err
		}
	}
	before := svc.answers.tally()
	err := timing.Wait(ctx, s.watched)
	return svc.answers.tally().since(before), err
}
