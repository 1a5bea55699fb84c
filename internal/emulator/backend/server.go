package backend

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"baylock/balancer"
	"baylock/internal/emulator/hollow"
)

var errProcessEnded = errors.New("the backend's process has ended")

// server is one backend.
type server struct {
	name    string
	cfg     *Config
	books   *books
	created time.Time

	mu      sync.Mutex
	faults  Faults
	next    Caller
	calls   uint64        // made to the next tier
	hung    chan struct{} // closed at the end of the hang; nil if there is none
	process *process      // nil while it is down
}

// process is one life of a backend.
type process struct {
	ctx     context.Context // ends with it
	stop    context.CancelFunc
	started time.Time // zero: long ago
	busy    int       // workers with a call
	waiting []*visit  // calls without a worker, in the order of their arrival
	load    coldLoad
}

// visit is one attempt at a backend.
type visit struct {
	process *process
	call    hollow.Call
	draws   draws
	until   time.Time     // by when its answer is wanted
	worker  chan struct{} // closed when it gets a worker
}

// draws are the random draws of one attempt.
type draws struct {
	wayThere, work, wayBack time.Duration
	slack                   time.Duration // until the end of the attempt's context is noticed
	luck                    float64       // whether it meets a fault at its end
	lateLuck, late          float64       // whether it comes late, and by what part of the most
}

func newServer(name string, cfg *Config, books *books) *server {
	s := &server{name: name, cfg: cfg, books: books, created: time.Now()}
	s.start(time.Time{})
	return s
}

// draw makes an attempt's draws from the seed, the call and the time alone, so that attempts that begin at one instant
// may come in any order.
func (s *server) draw(id string) draws {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.name + " " + id)) // never fails
	random := rand.New(rand.NewPCG(s.cfg.Seed+uint64(time.Since(s.created)), h.Sum64()))
	return draws{
		wayThere: around(random, s.cfg.Latency),
		work:     around(random, s.cfg.Work),
		wayBack:  around(random, s.cfg.Latency),
		slack:    time.Duration(random.Int64N(int64(timerSlack))),
		luck:     random.Float64(),
		lateLuck: random.Float64(),
		late:     random.Float64(),
	}
}

// around draws a time with the given mean: half of it is sure, the other half exponential.
func around(random *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(random.ExpFloat64()*float64(mean/2))
}

// start begins a life. The lock is held, here and in the functions below that change a server's state.
func (s *server) start(now time.Time) {
	p := &process{started: now}
	p.ctx, p.stop = context.WithCancel(context.Background())
	s.process = p
}

// crash ends the life. Calls that hang stay so until they have noticed.
func (s *server) crash() {
	if s.process != nil {
		s.process.stop()
	}
	s.process, s.hung = nil, nil
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

func (s *server) setFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// visit sees an attempt there and back. It returns Cancelled soon after the context ends.
func (s *server) visit(ctx context.Context, call hollow.Call, d draws) balancer.Status {
	remaining := toldTime(call.Deadline)
	ctx, cancel := withSlack(ctx, d.slack)
	defer cancel()
	if !sleep(ctx, d.wayThere+s.lateness(d)) {
		return balancer.Cancelled
	}
	v := &visit{call: call, draws: d, until: time.Now().Add(remaining), worker: make(chan struct{})}
	status := s.serve(ctx, v)
	if status == balancer.Cancelled || !sleep(ctx, d.wayBack) {
		return balancer.Cancelled
	}
	return status
}

// lateness is by how much an attempt comes late.
func (s *server) lateness(d draws) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.lateLuck >= s.faults.LatePart {
		return 0
	}
	return time.Duration(d.late * float64(s.faults.LateMost))
}

// withSlack returns a context that ends a while after its parent.
func withSlack(parent context.Context, slack time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	unlink := context.AfterFunc(parent, func() {
		time.Sleep(slack)
		cancel()
	})
	return ctx, func() {
		unlink()
		cancel()
	}
}

// serve takes a call that has arrived, and returns its end.
func (s *server) serve(ctx context.Context, v *visit) balancer.Status {
	status := s.admit(v, time.Now())
	if status == balancer.ConnectFailed {
		return status
	}
	if status == balancer.OK {
		status = s.handle(ctx, v)
	}
	s.books.ended(status)
	return status
}

// admit gives an arriving call a worker or a place in the queue, or turns it away.
func (s *server) admit(v *visit, now time.Time) balancer.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.process
	if p == nil {
		return balancer.ConnectFailed
	}
	v.process = p
	s.books.arrived(v.call.Class)
	if s.falls(p, v, now) {
		s.crash()
		return balancer.Reset
	}
	switch {
	case p.busy < s.cfg.Workers:
		p.busy++
		close(v.worker)
	case len(p.waiting) < s.cfg.Queue:
		p.waiting = append(p.waiting, v)
	default:
		return balancer.Rejected
	}
	return balancer.OK
}

// falls takes an arriving call into a cold backend's load and tells whether it is too much.
func (s *server) falls(p *process, v *visit, now time.Time) bool {
	age := now.Sub(p.started)
	if p.started.IsZero() || age >= s.cfg.Cold.Span {
		return false
	}
	got := p.load.add(arrival{at: now, weight: float64(v.draws.work) / float64(s.cfg.Work)}, s.cfg.Cold.FallAfter)
	warmRate := float64(s.cfg.Workers) / s.cfg.Work.Seconds()
	expected := s.cfg.Cold.expected(warmRate * s.cfg.Cold.capacity(age))
	load := got / withChance(expected)
	s.books.cold(load, got/expected)
	return load > 1
}

// handle sees an admitted call through, until it is given up or the process ends.
func (s *server) handle(ctx context.Context, v *visit) balancer.Status {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	unlink := context.AfterFunc(v.process.ctx, func() { cancel(errProcessEnded) })
	defer unlink()
	status := balancer.Cancelled
	if s.awaitWorker(ctx, v) {
		status = s.run(ctx, v)
		s.release(v.process)
	}
	if status == balancer.Cancelled && context.Cause(ctx) == errProcessEnded {
		return balancer.Reset
	}
	return status
}

// awaitWorker waits for a worker; false if the context ended first.
func (s *server) awaitWorker(ctx context.Context, v *visit) bool {
	select {
	case <-v.worker:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(v.process.waiting, v); i >= 0 {
		v.process.waiting = slices.Delete(v.process.waiting, i, i+1)
	} else { // it has got one just now
		v.process.release()
	}
	return false
}

func (s *server) release(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.release()
}

// release gives a worker to the call that has waited longest.
func (p *process) release() {
	if len(p.waiting) == 0 {
		p.busy--
		return
	}
	close(p.waiting[0].worker)
	p.waiting = p.waiting[1:]
}

// run does a call's work. It returns Cancelled when the context ends.
func (s *server) run(ctx context.Context, v *visit) balancer.Status {
	now := time.Now()
	s.books.began(v.call.ID, v.call.Class, now)
	if !sleep(ctx, s.duration(v, now)) || !s.awaitResume(ctx) {
		return balancer.Cancelled
	}
	next, faults := s.afterWork()
	switch {
	case v.draws.luck < faults.FailPart:
		return balancer.Error
	case v.draws.luck < faults.FailPart+faults.StallPart:
		<-ctx.Done()
		return balancer.Cancelled
	case v.draws.luck < faults.FailPart+faults.StallPart+faults.ResetPart:
		return balancer.Reset
	case next == nil:
		return balancer.OK
	}
	return s.callNext(ctx, next, v)
}

// duration is how long a call's work takes that begins now: a cold backend is slower, and so is a crowded one.
func (s *server) duration(v *visit, now time.Time) time.Duration {
	work := float64(v.draws.work)
	if s.crowded(v.process) {
		work *= s.cfg.Crowded.Slowdown
	}
	if !v.process.started.IsZero() {
		work /= s.cfg.Cold.capacity(now.Sub(v.process.started))
	}
	return time.Duration(work)
}

// crowded tells whether a backend holds more calls than it can without slowing down.
func (s *server) crowded(p *process) bool {
	if s.cfg.Crowded == (Crowding{}) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.busy+len(p.waiting) > s.cfg.Crowded.Calls
}

// awaitResume waits while the backend hangs; false if the context ended first.
func (s *server) awaitResume(ctx context.Context) bool {
	s.mu.Lock()
	hung := s.hung
	s.mu.Unlock()
	if hung == nil {
		return true
	}
	select {
	case <-hung:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *server) afterWork() (Caller, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next, s.faults
}

// callNext calls the next tier with the time that remains. The call fails unless that one is served.
func (s *server) callNext(ctx context.Context, next Caller, v *visit) balancer.Status {
	call := v.call
	call.ID, call.Deadline = s.nextID(), v.until
	call.Depth++
	result := next.Call(ctx, call)
	switch {
	case ctx.Err() != nil:
		return balancer.Cancelled
	case result.Outcome == hollow.Served:
		return balancer.OK
	}
	return balancer.Error
}

// nextID returns a new ID for a call of this backend to the next tier.
func (s *server) nextID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.name + "/" + strconv.FormatUint(s.calls, 10)
}
