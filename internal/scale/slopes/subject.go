package slopes

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"baylock/internal/discovery"
	"baylock/internal/emulator/registry"
	"baylock/internal/scale"
	"baylock/internal/scale/traffic"
)

const (
	listName = "tier"
	region   = "region-1"
	// The number of changes in the discovery service's log. A proxy that is further behind receives a snapshot.
	logLimit      = 8
	callTimeoutMs = 2000
	// The random stream of the discovery service. Each subject uses the stream numbered like its list size.
	registryStream = 1 << 20
)

// subject is one measured proxy, with a backend and a discovery service of its own.
type subject struct {
	env       scale.Env
	plan      plan
	backend   *traffic.Backend
	registry  *registry.Service
	endpoints []discovery.Endpoint
	config    scale.ProxyConfig
	proxy     *scale.Proxy
	applied   *watermark // of the change numbers that the proxy has applied
	random    *rand.Rand
	idle      cost  // while the proxy is idle
	point     point // measurements of the proxy
}

func newSubject(env scale.Env, p plan, m mode, size int, cores []int) (*subject, error) {
	s := &subject{env: env, plan: p, applied: newWatermark(), random: rand.New(rand.NewPCG(env.Seed, uint64(size))),
		point: point{size: size}}
	zone := scale.DefaultZones()[0]
	var err error
	if s.backend, err = traffic.StartBackend(nil, env.Log); err != nil {
		return nil, err
	}
	s.endpoints = s.backend.Endpoints(size, scale.DefaultZones())
	s.registry, err = registry.New(registry.Config{Poll: m.membership == scale.Polled, LogLimit: logLimit,
		Replicas:  []registry.ReplicaConfig{{Name: "replica-1", Zone: zone, Region: region}},
		Random:    rand.New(rand.NewPCG(env.Seed, registryStream)),
		OnRequest: func(o registry.Observation) { s.applied.raise(o.CompleteThrough) }})
	if err != nil {
		s.backend.Close()
		return nil, err
	}
	location := registry.Location{Name: fmt.Sprintf("proxy-%d", size), Zone: zone, Region: region}
	if err := s.setUpDiscovery(m, cores, location); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// setUpDiscovery publishes the endpoint list, makes the discovery service listen for the proxy and sets the proxy's
// configuration.
func (s *subject) setUpDiscovery(m mode, cores []int, at registry.Location) error {
	if _, err := s.registry.Publish(listName, region, s.endpoints...); err != nil {
		return err
	}
	address, err := s.registry.Listen(listName, at)
	s.config = scale.ProxyConfig{Name: at.Name, Discovery: address, Seed: s.env.Seed,
		Settings: scale.DefaultSettings(m.membership), Cores: cores}
	return err
}

func (s *subject) close() {
	if s.proxy != nil {
		s.proxy.Kill()
	}
	s.registry.Close()
	s.backend.Close()
}

// cost is the proxy's resource usage during a period.
type cost struct {
	elapsed time.Duration
	cpu     time.Duration
	bytes   int64 // exchanged between the proxy and the discovery service
}

// perSecond returns the mean CPU time and bytes per second.
func (c cost) perSecond() (cpu time.Duration, bytes float64) {
	seconds := c.elapsed.Seconds()
	return time.Duration(float64(c.cpu) / seconds), float64(c.bytes) / seconds
}

// minus subtracts another cost, scaled to the duration of c.
func (c cost) minus(base cost) cost {
	cpu, bytes := base.perSecond()
	c.cpu -= time.Duration(float64(cpu) * c.elapsed.Seconds())
	c.bytes -= int64(bytes * c.elapsed.Seconds())
	return c
}

// checkpoint holds the time and the proxy's usage at the start of a measurement.
type checkpoint struct {
	at    time.Time
	usage scale.Usage
}

// beginMeasurement returns a checkpoint and resets the count of discovery bytes.
func (s *subject) beginMeasurement() (checkpoint, error) {
	usage, err := s.proxy.Usage()
	s.discoveryBytes()
	return checkpoint{at: time.Now(), usage: usage}, err
}

// costSince returns the cost since a checkpoint, which must be that of the last call of beginMeasurement.
func (s *subject) costSince(start checkpoint) (cost, error) {
	took := time.Since(start.at)
	usage, err := s.proxy.Usage()
	return cost{elapsed: took, cpu: usage.Minus(start.usage).CPU, bytes: s.discoveryBytes()}, err
}

// costOf runs work and returns the cost during that time.
func (s *subject) costOf(work func() error) (cost, error) {
	start, err := s.beginMeasurement()
	if err != nil {
		return cost{}, err
	}
	if err := work(); err != nil {
		return cost{}, err
	}
	return s.costSince(start)
}

// discoveryBytes returns the number of bytes that the proxy and the discovery service have exchanged since the
// previous call of discoveryBytes.
func (s *subject) discoveryBytes() int64 {
	total := int64(0)
	for _, usage := range s.registry.Usage() {
		total += usage.BytesIn + usage.BytesOut
	}
	return total
}

// wait waits for the given duration. It fails if the proxy or the context ends first.
func (s *subject) wait(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-s.proxy.Ended():
		return errors.Join(scale.ErrProcessEnded, s.proxy.Err())
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// start starts the proxy, after killing it if it runs, and returns the time and the cost until it is ready.
func (s *subject) start(ctx context.Context) (ready time.Duration, used cost, err error) {
	if s.proxy != nil {
		s.proxy.Kill()
	}
	s.discoveryBytes()
	if s.proxy, err = scale.StartProxy(ctx, s.env, s.config); err != nil {
		return 0, cost{}, err
	}
	usage, err := s.proxy.Usage()
	return s.proxy.ReadyAfter, cost{cpu: usage.CPU, bytes: s.discoveryBytes()}, err
}

// publishChanges publishes single changes one after the other, and waits until the proxy has applied them: one
// backend drains and returns to service, then the next one does.
func (s *subject) publishChanges(ctx context.Context) error {
	last := int64(0)
	for i := range s.plan.changes {
		endpoint := s.endpoints[i/2%len(s.endpoints)]
		if i%2 == 0 {
			endpoint.Status = discovery.Draining
		}
		change, err := s.registry.Publish(listName, region, endpoint)
		if err != nil {
			return err
		}
		last = change.Number
		if err := s.wait(ctx, s.plan.changeInterval); err != nil {
			return err
		}
	}
	return s.applied.wait(ctx, last)
}

// forceSnapshots makes the proxy receive several snapshots, by publishing more changes at once than the log of the
// discovery service holds.
func (s *subject) forceSnapshots(ctx context.Context) error {
	for range s.plan.snapshots {
		change, err := s.registry.Publish(listName, region, s.endpoints[:logLimit+1]...)
		if err != nil {
			return err
		}
		if err := s.applied.wait(ctx, change.Number); err != nil {
			return err
		}
	}
	return nil
}

// load generates calls through the proxy. It returns the number of calls and how many of them failed.
func (s *subject) load(
	ctx context.Context, client *traffic.Client, length time.Duration,
) (calls, failed int, err error) {
	var failures atomic.Int64
	prefix := strconv.FormatUint(s.random.Uint64(), 16) + "-"
	calls, err = traffic.OpenLoop(ctx, s.plan.rate, length, s.random, func(number int, _ time.Time) {
		err := client.Call(traffic.Call{
			ID:        prefix + strconv.Itoa(number),
			Class:     scale.ReadClass,
			Tenant:    scale.TenantA,
			TimeoutMs: callTimeoutMs,
		})
		if err != nil {
			failures.Add(1)
			s.env.Log.Info("call not served", "error", err)
		}
	})
	return calls, int(failures.Load()), err
}
