package backend

import (
	"context"
	"strconv"
	"sync"
	"time"

	"baylock/balancer"
)

// server is one backend. Callers of start, crash, hang, resume and overloaded must hold mu; the other methods
// lock it themselves.
type server struct {
	name     string
	cfg      *Config
	counters *counters
	created  time.Time

	mu            sync.Mutex // guards the fields below and the mutable fields of all processes
	faults        Faults
	next          Caller
	nextTierCalls uint64        // number of calls made to the next tier
	hangEnd       chan struct{} // closed by resume; nil while the backend does not hang
	process       *process      // nil while the backend is down
}

// process is a process of a backend, from its start until it crashes.
type process struct {
	ctx     context.Context // ends with the process
	stop    context.CancelFunc
	started time.Time  // zero: so long ago that the process is warm
	busy    int        // number of workers with an attempt
	queue   []*attempt // attempts waiting for a worker, in order of arrival
	load    coldLoad
}

func newServer(name string, cfg *Config, counters *counters) *server {
	s := &server{name: name, cfg: cfg, counters: counters, created: time.Now()}
	s.start(time.Time{})
	return s
}

// start starts a process at the given time. The zero time means that the process is warm from the start.
func (s *server) start(now time.Time) {
	p := &process{started: now}
	p.ctx, p.stop = context.WithCancel(context.Background())
	s.process = p
}

// crash ends the process, if there is one. A hang ends with it.
func (s *server) crash() {
	if s.process != nil {
		s.process.stop()
	}
	s.process = nil
	s.hangEnd = nil
}

func (s *server) hang() {
	if s.hangEnd == nil {
		s.hangEnd = make(chan struct{})
	}
}

func (s *server) resume() {
	if s.hangEnd != nil {
		close(s.hangEnd)
	}
	s.hangEnd = nil
}

// overloaded adds an arriving attempt to the load of its process, if the process is cold, and reports whether the
// load exceeds the overload threshold. It returns false if the process is warm.
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
	thresholdRatio := load / overloadThreshold(sustainable)
	s.counters.coldAttemptArrived(thresholdRatio, load/sustainable)
	return thresholdRatio > 1
}

// admit assigns a worker to an arriving attempt or queues it, and then returns OK. Otherwise it returns the
// attempt's outcome: ConnectFailed if the backend is down, Reset if the attempt crashes it, Rejected if the
// queue is full.
func (s *server) admit(a *attempt, now time.Time) balancer.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.process
	if p == nil {
		return balancer.ConnectFailed
	}
	a.process = p
	s.counters.attemptArrived(a.call.Class)
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

// release frees a worker of the process; see process.release.
func (s *server) release(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.release()
}

// release assigns a freed worker to the first queued attempt, if any. The caller must hold the server's mu.
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

// injectedDelay returns the injected delay of an attempt on its way to the backend.
func (s *server) injectedDelay(values samples) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if values.delayed >= s.faults.DelayRatio {
		return 0
	}
	return time.Duration(values.delay * float64(s.faults.MaxDelay))
}

// congested reports whether a process has more calls than Congestion.Threshold.
func (s *server) congested(p *process) bool {
	if s.cfg.Congestion == (Congestion{}) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.busy+len(p.queue) > s.cfg.Congestion.Threshold
}

// currentHang returns a channel that is closed by resume, or nil if the backend does not hang.
func (s *server) currentHang() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hangEnd
}

// nextAndFaults returns the proxy of the next tier, or nil if there is none, and the injected faults.
func (s *server) nextAndFaults() (Caller, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next, s.faults
}

// nextCallID returns an ID for this backend's next call to the next tier.
func (s *server) nextCallID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextTierCalls++
	return s.name + "/" + strconv.FormatUint(s.nextTierCalls, 10)
}
