package backend

import (
	"context"
	"strconv"
	"sync"
	"time"

	"baylock/balancer"
)

// server is one backend. Its methods lock mu themselves, except start, crash, hang, resume and overloaded.
type server struct {
	name     string
	cfg      *Config
	counters *counters
	created  time.Time

	mu      sync.Mutex // guards all below, and the processes' mutable fields
	faults  Faults
	next    Caller
	calls   uint64        // made to the next tier
	hung    chan struct{} // closed at the end of the hang; nil if there is none
	process *process      // nil while the backend is down
}

// process is one run of a backend's process.
type process struct {
	ctx     context.Context // ends with the process
	stop    context.CancelFunc
	started time.Time  // zero: long ago
	busy    int        // workers with a call
	queue   []*attempt // calls without a worker, in the order of their arrival
	load    coldLoad
}

func newServer(name string, cfg *Config, counters *counters) *server {
	s := &server{name: name, cfg: cfg, counters: counters, created: time.Now()}
	s.start(time.Time{})
	return s
}

// start starts a process.
func (s *server) start(now time.Time) {
	p := &process{started: now}
	p.ctx, p.stop = context.WithCancel(context.Background())
	s.process = p
}

// crash ends the process, if there is one.
func (s *server) crash() {
	if s.process != nil {
		s.process.stop()
	}
	s.process = nil
	s.hung = nil
}

func (s *server) hang() {
	if s.hung == nil {
		s.hung = make(chan struct{})
	}
}

func (s *server) resume() {
	if s.hung != nil {
		close(s.hung)
	}
	s.hung = nil
}

// overloaded adds an arriving attempt to the load of a cold process, and reports whether the load is above the
// threshold.
func (s *server) overloaded(a *attempt, now time.Time) bool {
	p := a.process
	age := now.Sub(p.started)
	if p.started.IsZero() || age >= s.cfg.ColdStart.WarmUp {
		return false
	}
	weight := float64(a.samples.work) / float64(s.cfg.Work)
	load := p.load.add(arrival{at: now, weight: weight}, s.cfg.ColdStart.OverloadWindow)
	warmRate := float64(s.cfg.Workers) / s.cfg.Work.Seconds()
	sustainable := s.cfg.ColdStart.sustainableLoad(warmRate * s.cfg.ColdStart.capacity(age))
	relative := load / overloadThreshold(sustainable)
	s.counters.coldArrival(relative, load/sustainable)
	return relative > 1
}

// admit gives an arriving attempt a worker or a place in the queue, or rejects it.
func (s *server) admit(a *attempt, now time.Time) balancer.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.process
	if p == nil {
		return balancer.ConnectFailed
	}
	a.process = p
	s.counters.arrival(a.call.Class)
	if s.overloaded(a, now) {
		s.crash()
		return balancer.Reset
	}
	switch {
	case p.busy < s.cfg.Workers:
		p.busy++
		close(a.workerAssigned)
	case len(p.queue) < s.cfg.Queue:
		p.queue = append(p.queue, a)
	default:
		return balancer.Rejected
	}
	return balancer.OK
}

// release frees a worker.
func (s *server) release(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.release()
}

// release assigns the freed worker to the first call of the queue.
func (p *process) release() {
	if len(p.queue) == 0 {
		p.busy--
		return
	}
	close(p.queue[0].workerAssigned)
	p.queue = p.queue[1:]
}

func (s *server) setFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// injectedDelay is by how much an attempt is delayed on its way.
func (s *server) injectedDelay(draws samples) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if draws.delayed >= s.faults.DelayRatio {
		return 0
	}
	return time.Duration(draws.delay * float64(s.faults.MaxDelay))
}

// congested reports whether a process has more calls than it can serve without slowing down.
func (s *server) congested(p *process) bool {
	if s.cfg.Congestion == (Congestion{}) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.busy+len(p.queue) > s.cfg.Congestion.Threshold
}

// currentHang returns a channel that is closed at the end of the present hang, or nil.
func (s *server) currentHang() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hung
}

func (s *server) nextAndFaults() (Caller, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next, s.faults
}

// nextCallID returns an ID for this backend's next call to the next tier.
func (s *server) nextCallID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.name + "/" + strconv.FormatUint(s.calls, 10)
}
