package reload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
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

// changeAll makes the changes one after the other. It stops after a change that is not in force at any proxy.
func (f *fleet) changeAll(ctx context.Context, m *measurement) error {
	if err := wait(ctx, f.plan.settle); err != nil {
		return err
	}
	for i := range f.plan.changes {
		f.env.Progress("change %d of %d", i+1, f.plan.changes)
		taken, err := f.change(ctx, m)
		if err != nil {
			return fmt.Errorf("change %d: %w", i+1, err)
		}
		if taken == 0 {
			return nil
		}
		if err := wait(ctx, f.plan.settle); err != nil {
			return err
		}
	}
	return nil
}

// change adds a class to the file of every proxy, signals all proxies, and waits until the class is known or the
// timeout is over. It returns the number of proxies that know it.
func (f *fleet) change(ctx context.Context, m *measurement) (taken int, err error) {
	class := f.addClass()
	for _, p := range f.proxies { // so that a later positive answer is known to be due to the change
		if known, err := p.knows(class); known || err != nil {
			return 0, fmt.Errorf("%s before the change: knows class %s: %v, %w", p.config.Name, class, known, err)
		}
	}
	if err := f.replaceFiles(m); err != nil {
		return 0, err
	}
	began := time.Now()
	for _, p := range f.proxies {
		if err := p.Reload(); err != nil {
			return 0, fmt.Errorf("%s: %w", p.config.Name, err)
		}
	}
	times := make([]time.Duration, len(f.proxies))
	errs := make([]error, len(f.proxies))
	var watches sync.WaitGroup
	for i, p := range f.proxies {
		watches.Go(func() { times[i], errs[i] = f.waitForClass(ctx, p, class, began) })
	}
	watches.Wait()
	if err := errors.Join(errs...); err != nil {
		return 0, err
	}
	for _, took := range times {
		m.times = append(m.times, took)
		if took < f.plan.timeout {
			taken++
		}
	}
	return taken, nil
}

// addClass adds a class to each proxy's configuration and returns its name.
func (f *fleet) addClass() string {
	f.addedClasses++
	name := fmt.Sprintf("added-%d", f.addedClasses)
	for _, p := range f.proxies {
		added := p.config.Settings.Classes[0]
		added.Name = name
		p.config.Settings.Classes = append(slices.Clone(p.config.Settings.Classes), added)
	}
	return name
}

// replaceFiles replaces the configuration files of all proxies.
func (f *fleet) replaceFiles(m *measurement) error {
	began := time.Now()
	for _, p := range f.proxies {
		if err := p.WriteConfig(p.config); err != nil {
			return err
		}
	}
	m.writeTime = max(m.writeTime, time.Since(began))
	size, err := fileSize(f.proxies[0].ConfigPath)
	m.fileBytes = max(m.fileBytes, size)
	return err
}

// waitForClass returns the time from began until the proxy knows the class, or the timeout if that is shorter.
func (f *fleet) waitForClass(ctx context.Context, p *fleetProxy, class string, began time.Time) (time.Duration, error) {
	next := time.NewTicker(f.plan.pollInterval)
	defer next.Stop()
	for {
		known, err := p.knows(class)
		took := time.Since(began)
		if err != nil || known || took >= f.plan.timeout {
			return min(took, f.plan.timeout), err
		}
		select {
		case <-next.C:
		case <-p.Ended():
			return 0, errors.Join(scale.ErrProcessEnded, p.Err())
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

// knows reports whether the proxy accepts calls of a class. It answers 400 to those of an unknown one.
func (p *fleetProxy) knows(class string) (bool, error) {
	p.polls++
	err := p.poller.Call(traffic.Call{ID: fmt.Sprintf("look-%d", p.polls), Class: class, Tenant: scale.TenantA,
		TimeoutMs: callTimeout})
	if answer, ok := errors.AsType[traffic.StatusError](err); ok {
		return answer.Status != http.StatusBadRequest, nil
	}
	return err == nil, err
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
