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
	// Beyond this number of changes, the discovery service responds with a snapshot.
	logLimit    = 8
	callTimeout = 2000 // in milliseconds
	seedStride  = 1 << 20
)

// subject is one proxy, with its backend and discovery service.
type subject struct {
	env       scale.Env
	plan      plan
	backend   *traffic.Backend
	registry  *registry.Service
	endpoints []discovery.Endpoint
	config    scale.ProxyConfig
	proxy     *scale.Proxy
	applied   *watermark
	random    *rand.Rand
	idle      cost  // while nothing happens
	point     point // its measurements
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
		Random:    rand.New(rand.NewPCG(env.Seed, seedStride)),
		OnRequest: func(o registry.Observation) { s.applied.raise(o.CompleteThrough) }})
	if err != nil {
		s.backend.Close()
		return nil, err
	}
	location := registry.Location{Name: fmt.Sprintf("proxy-%d", size), Zone: zone, Region: region}
	if err := s.listen(m, cores, location); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// listen publishes the endpoint list and opens the proxy's address of the discovery service.
func (s *subject) listen(m mode, cores []int, at registry.Location) error {
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

// cost is the proxy's resource usage over some time.
type cost struct {
	elapsed time.Duration
	cpu     time.Duration
	bytes   int64 // between the proxy and the discovery service
}

// perSecond returns the cost of one second.
func (c cost) perSecond() (cpu time.Duration, bytes float64) {
	seconds := c.elapsed.Seconds()
	return time.Duration(float64(c.cpu) / seconds), float64(c.bytes) / seconds
}

// minus subtracts another cost, scaled to the same time.
func (c cost) minus(base cost) cost {
	cpu, bytes := base.perSecond()
	c.cpu -= time.Duration(float64(cpu) * c.elapsed.Seconds())
	c.bytes -= int64(bytes * c.elapsed.Seconds())
	return c
}

// checkpoint is the start of a measurement.
type checkpoint struct {
	at    time.Time
	usage scale.Usage
}

func (s *subject) begin() (checkpoint, error) {
	usage, err := s.proxy.Usage()
	s.discoveryBytes()
	return checkpoint{at: time.Now(), usage: usage}, err
}

// costSince returns the cost since the last call of begin.
func (s *subject) costSince(m checkpoint) (cost, error) {
	took := time.Since(m.at)
	usage, err := s.proxy.Usage()
	return cost{elapsed: took, cpu: usage.Minus(m.usage).CPU, bytes: s.discoveryBytes()}, err
}

// costOf measures the cost while work runs.
func (s *subject) costOf(work func() error) (cost, error) {
	m, err := s.begin()
	if err != nil {
		return cost{}, err
	}
	if err := work(); err != nil {
		return cost{}, err
	}
	return s.costSince(m)
}

// discoveryBytes returns the bytes between the proxy and the discovery service since its previous call.
func (s *subject) discoveryBytes() int64 {
	total := int64(0)
	for _, usage := range s.registry.Usage() {
		total += usage.BytesIn + usage.BytesOut
	}
	return total
}

// wait waits for a while.
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

// start starts the proxy, after stopping a running one, and returns the time and the cost until it is ready.
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

// publishChanges publishes single changes one after the other: a backend drains and returns, then the next one does.
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

// requestSnapshots makes the proxy get several snapshots.
func (s *subject) requestSnapshots(ctx context.Context) error {
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

// load generates calls through the proxy, and returns their number and how many of them failed.
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
			TimeoutMs: callTimeout,
		})
		if err != nil {
			failures.Add(1)
			s.env.Log.Info("call not served", "error", err)
		}
	})
	return calls, int(failures.Load()), err
}
