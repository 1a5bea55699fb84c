package reload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"baylock/internal/emulator/registry"
	"baylock/internal/scale"
	"baylock/internal/scale/traffic"
	"baylock/internal/timing"
)

const (
	listName    = "tier"
	region      = "region-1"
	callTimeout = 2000 // in milliseconds
)

// fleet is the proxies, with their backend and discovery service.
type fleet struct {
	env          scale.Env
	plan         plan
	backend      *traffic.Backend
	registry     *registry.Service
	proxies      []*fleetProxy
	random       *rand.Rand
	addedClasses int // number of classes that changes have added
}

// fleetProxy is one proxy of the fleet.
type fleetProxy struct {
	*scale.Proxy
	config scale.ProxyConfig
	load   *traffic.Client
	poller *traffic.Client
	polls  int // calls of the poller so far
}

func startFleet(ctx context.Context, env scale.Env, p plan) (*fleet, error) {
	f := &fleet{env: env, plan: p, random: rand.New(rand.NewPCG(env.Seed, 1))}
	if err := f.start(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context) error {
	zones := scale.DefaultZones()
	var err error
	if f.backend, err = traffic.StartBackend(nil, f.env.Log); err != nil {
		return err
	}
	f.registry, err = registry.New(registry.Config{Random: rand.New(rand.NewPCG(f.env.Seed, 2)),
		Replicas: []registry.ReplicaConfig{{Name: "replica-1", Zone: zones[0], Region: region}}})
	if err != nil {
		return err
	}
	if _, err := f.registry.Publish(listName, region, f.backend.Endpoints(f.plan.backends, zones)...); err != nil {
		return err
	}
	for i := range f.plan.proxies {
		if err := f.startProxy(ctx, i, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startProxy(ctx context.Context, number int, zone string) error {
	name := fmt.Sprintf("proxy-%d", number+1)
	address, err := f.registry.Listen(listName, registry.Location{Name: name, Zone: zone, Region: region})
	if err != nil {
		return err
	}
	settings := scale.DefaultSettings(scale.Pushed)
	settings.Replicas, settings.ReplicaIndex, settings.Zone = f.plan.proxies, number, number%len(settings.Zones)
	config := scale.ProxyConfig{Name: name, Discovery: address, Seed: f.env.Seed + uint64(number),
		Settings: settings}
	proxy, err := scale.StartProxy(ctx, f.env, config)
	if err != nil {
		return err
	}
	f.proxies = append(f.proxies, &fleetProxy{Proxy: proxy, config: config, load: traffic.NewClient(proxy.Address),
		poller: traffic.NewClient(proxy.Address)})
	return nil
}

// close stops all that start has started.
func (f *fleet) close() {
	var ends sync.WaitGroup
	for _, m := range f.proxies {
		m.load.Close()
		m.poller.Close()
		ends.Go(m.Kill)
	}
	ends.Wait()
	if f.registry != nil {
		f.registry.Close()
	}
	if f.backend != nil {
		f.backend.Close()
	}
}

// withLoad generates calls through all proxies while work runs.
func (f *fleet) withLoad(ctx context.Context, m *measurement, work func() error) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var notServed atomic.Int64
	loaded := make(chan error, 1)
	go func() {
		calls, err := traffic.OpenLoop(loadCtx, f.plan.rate*float64(len(f.proxies)), time.Hour, f.random,
			func(number int, _ time.Time) {
				target := f.proxies[number%len(f.proxies)]
				err := target.load.Call(traffic.Call{
					ID:        "load-" + strconv.Itoa(number),
					Class:     scale.ReadClass,
					Tenant:    scale.TenantA,
					TimeoutMs: callTimeout,
				})
				if err != nil {
					notServed.Add(1)
					f.env.Log.Info("call not served", "error", err)
				}
			})
		m.calls = calls
		loaded <- err
	}()
	err := work()
	stop()
	loadErr := <-loaded
	m.failedCalls = int(notServed.Load())
	if err == nil && !errors.Is(loadErr, context.Canceled) {
		err = loadErr
	}
	return err
}

// reloadCost measures the CPU time of a reload of one proxy, beyond its idle CPU time.
func (f *fleet) reloadCost(ctx context.Context) (time.Duration, error) {
	p := f.proxies[0]
	used := func(each func() error) (time.Duration, error) {
		before, err := p.Usage()
		if err != nil {
			return 0, err
		}
		for range f.plan.reloads {
			if err := each(); err != nil {
				return 0, err
			}
			if err := wait(ctx, f.plan.reloadInterval); err != nil {
				return 0, err
			}
		}
		after, err := p.Usage()
		return after.Minus(before).CPU, err
	}
	idle, err := used(func() error { return nil })
	if err != nil {
		return 0, err
	}
	busy, err := used(p.Reload)
	return (busy - idle) / time.Duration(f.plan.reloads), err
}

// wait waits for a while.
func wait(ctx context.Context, length time.Duration) error {
	if timing.Wait(ctx, length) != nil {
		return context.Cause(ctx)
	}
	return nil
}
