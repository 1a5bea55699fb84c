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
	listName      = "tier"
	region        = "region-1"
	callTimeoutMs = 2000
)

// fleet holds the proxies and the backend and discovery service that they share.
type fleet struct {
	env          scale.Env
	plan         plan
	backend      *traffic.Backend
	registry     *registry.Service
	proxies      []*fleetProxy
	random       *rand.Rand
	addedClasses int // number of classes added so far
}

// fleetProxy is one proxy of the fleet.
type fleetProxy struct {
	*scale.Proxy
	config     scale.ProxyConfig
	loadClient *traffic.Client
	pollClient *traffic.Client
	polls      int // number of calls made with pollClient
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
	f.proxies = append(f.proxies, &fleetProxy{Proxy: proxy, config: config,
		loadClient: traffic.NewClient(proxy.Address), pollClient: traffic.NewClient(proxy.Address)})
	return nil
}

// close stops everything that start has started.
func (f *fleet) close() {
	var stops sync.WaitGroup
	for _, p := range f.proxies {
		p.loadClient.Close()
		p.pollClient.Close()
		stops.Go(p.Kill)
	}
	stops.Wait()
	if f.registry != nil {
		f.registry.Close()
	}
	if f.backend != nil {
		f.backend.Close()
	}
}

// withLoad runs work while it generates calls through all proxies, and records how many calls failed.
func (f *fleet) withLoad(ctx context.Context, m *measurement, work func() error) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var notServed atomic.Int64
	loadDone := make(chan error, 1)
	go func() {
		calls, err := traffic.OpenLoop(loadCtx, f.plan.rate*float64(len(f.proxies)), time.Hour, f.random,
			func(number int, _ time.Time) {
				target := f.proxies[number%len(f.proxies)]
				err := target.loadClient.Call(traffic.Call{
					ID:        "load-" + strconv.Itoa(number),
					Class:     scale.ReadClass,
					Tenant:    scale.TenantA,
					TimeoutMs: callTimeoutMs,
				})
				if err != nil {
					notServed.Add(1)
					f.env.Log.Info("call not served", "error", err)
				}
			})
		m.calls = calls
		loadDone <- err
	}()
	err := work()
	stop()
	loadErr := <-loadDone
	m.failedCalls = int(notServed.Load())
	if err == nil && !errors.Is(loadErr, context.Canceled) {
		err = loadErr
	}
	return err
}

// measureReloadCPU returns the mean CPU time of one reload of one proxy, less its idle CPU time.
func (f *fleet) measureReloadCPU(ctx context.Context) (time.Duration, error) {
	p := f.proxies[0]
	measureCPU := func(action func() error) (time.Duration, error) {
		before, err := p.Usage()
		if err != nil {
			return 0, err
		}
		for range f.plan.reloads {
			if err := action(); err != nil {
				return 0, err
			}
			if err := wait(ctx, f.plan.reloadInterval); err != nil {
				return 0, err
			}
		}
		after, err := p.Usage()
		return after.Minus(before).CPU, err
	}
	idle, err := measureCPU(func() error { return nil })
	if err != nil {
		return 0, err
	}
	busy, err := measureCPU(p.Reload)
	return (busy - idle) / time.Duration(f.plan.reloads), err
}

// wait waits for the given duration or until the context ends.
func wait(ctx context.Context, length time.Duration) error {
	if timing.Wait(ctx, length) != nil {
		return context.Cause(ctx)
	}
	return nil
}
