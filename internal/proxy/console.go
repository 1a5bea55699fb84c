package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"baylock/balancer"
)

const (
	consoleConns = 12                     // connections at a time; those that say nothing make room
	consoleHead  = 2 * time.Second        // a caller has this long for its head
	consoleBody  = 500 * time.Millisecond // and this long for its body, which is one short word
	consoleWait  = 900 * time.Millisecond // an answer is due after 1 s
	maxCallHead  = 4 << 10
	maxCallBody  = 512
)

// console takes the calls of operators, one to a connection. A yes is given once the loop has done what was asked.
type console struct {
	conns  *clients
	server *http.Server
	calls  map[string]call
	log    *slog.Logger
}

// yes is the answer to a call that was done, where no more is to be told.
const yes = "ok"

// call is one of the console's calls; do returns the line of a yes, or why it is a no.
type call struct {
	method string
	named  bool // the body names a backend
	do     func(ctx context.Context, id string) (word string, err error)
}

// no is a refusal of a call, with its status.
type no struct {
	status int
	why    string
}

func (n no) Error() string { return n.why }

func newConsole(p *Proxy, log *slog.Logger) *console {
	c := &console{conns: newClients(nil, consoleConns), log: log, calls: map[string]call{
		"/_ready":           {http.MethodGet, false, p.ready},
		"/_backends/detach": {http.MethodPost, true, p.detach},
		"/_backends/attach": {http.MethodPost, true, p.attach},
		"/_lameduck/on":     {http.MethodPost, false, p.lameDuck(true)},
		"/_lameduck/off":    {http.MethodPost, false, p.lameDuck(false)},
	}}
	c.conns.just = 0 // half calls would spare each other
	c.conns.mayWait = true
	c.server = &http.Server{Handler: c, ReadHeaderTimeout: consoleHead, IdleTimeout: consoleHead, MaxHeaderBytes: maxCallHead,
		WriteTimeout: 2 * consoleHead, ErrorLog: quietLog(log),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, clientKey{}, conn)
		},
		// A call is open once all of it has come: one that waits for its body makes room like one that says nothing.
		ConnState: func(conn net.Conn, s http.ConnState) {
			if s != http.StateActive {
				c.conns.state(conn, s)
			}
		}}
	c.server.SetKeepAlivesEnabled(false)
	return c
}

func (c *console) serve() error {
	if err := c.server.Serve(c.conns); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

func (c *console) close() { _ = c.server.Close() }

// ServeHTTP answers one call.
func (c *console) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	id, word, err := c.answer(w, r)
	if err != nil {
		status, word = http.StatusServiceUnavailable, err.Error()
		if n, ok := errors.AsType[no](err); ok {
			status = n.status
		}
	}
	if r.URL.Path != "/_ready" {
		c.log.Info("console", "call", r.URL.Path, "id", id, "status", status, "word", word)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(consoleBody)) // what is left of a body may never come
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, word+"\n") // a caller that has gone is no fault
}

func (c *console) answer(w http.ResponseWriter, r *http.Request) (id, word string, err error) {
	known, ok := c.calls[r.RequestURI]
	if !ok {
		return "", "", no{http.StatusNotFound, "no such call"}
	}
	if r.Method != known.method {
		w.Header().Set("Allow", known.method)
		return "", "", no{http.StatusMethodNotAllowed, "the call is " + known.method}
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(consoleBody))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBody))
	if errors.As(err, new(*http.MaxBytesError)) {
		return "", "", no{http.StatusRequestEntityTooLarge, "the body is too large"}
	} else if err != nil {
		return "", "", no{http.StatusBadRequest, "the body broke off"}
	}
	id = strings.TrimSpace(string(body))
	if known.named == (id == "") {
		return "", "", no{http.StatusBadRequest, "the body has to hold the id of a backend, or nothing where none is named"}
	}
	if conn, ok := r.Context().Value(clientKey{}).(*clientConn); ok {
		c.conns.state(conn, http.StateActive)
	}
	ctx, cancel := context.WithTimeout(r.Context(), consoleWait)
	defer cancel()
	word, err = known.do(ctx, id)
	return id, word, err
}

// do has the loop carry out f and waits until it has.
func (l *loop) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case l.events <- func() { f(); close(done) }:
	case <-l.done:
		return errors.New("the proxy has ended")
	case <-ctx.Done():
		return errors.New("the proxy is too busy to say")
	}
	select {
	case <-done:
		return nil
	case <-l.done:
		return errors.New("the proxy has ended")
	case <-ctx.Done():
		return errors.New("not done yet")
	}
}

// ready tells whether this process serves: it has a list, what operators have said, and its listeners. Lame duck
// is no matter here, or no new version could take over from one that is empty. A yes shows the settings in force.
func (p *Proxy) ready(context.Context, string) (string, error) {
	select {
	case <-p.opened:
	default:
		return "", no{http.StatusServiceUnavailable, "starting"}
	}
	select {
	case <-p.loop.listed:
	default:
		return "", no{http.StatusServiceUnavailable, "no list of backends yet"}
	}
	if p.front.draining.Load() {
		return "", no{http.StatusServiceUnavailable, "ending"}
	}
	return yes + " " + p.loop.inForce.Load().word(), nil
}

func (p *Proxy) detach(ctx context.Context, id string) (string, error) {
	return yes, p.change(ctx, id, func(st *state) { st.detach(id) })
}

func (p *Proxy) attach(ctx context.Context, id string) (string, error) {
	return yes, p.change(ctx, id, func(st *state) { st.attach(id, time.Now()) })
}

func (p *Proxy) lameDuck(on bool) func(context.Context, string) (string, error) {
	return func(ctx context.Context, _ string) (string, error) {
		return yes, p.change(ctx, "", func(st *state) { st.LameDuck = on })
	}
}

// change writes down what operators have said and carries it out. An id that nobody has changes nothing.
func (p *Proxy) change(ctx context.Context, id string, f func(*state)) error {
	p.shared.mu.Lock()
	defer p.shared.mu.Unlock()
	if id != "" && !slices.Contains(p.shared.now.Detached, id) {
		listed := false
		if err := p.loop.do(ctx, func() { listed = p.loop.pool.Contains(id) }); err != nil {
			return err
		}
		if !listed {
			return no{http.StatusNotFound, "no backend has this id"}
		}
	}
	if err := p.shared.change(f); err != nil {
		return err
	}
	return p.follow(ctx)
}

// follow carries the state out. The caller holds the state.
func (p *Proxy) follow(ctx context.Context) error {
	st := p.shared.now
	p.front.lameDuck(st.LameDuck)
	if err := p.loop.do(ctx, func() { p.loop.detached(st) }); err != nil {
		return err
	}
	p.followed = st.Version
	return nil
}

// note writes down what the module has learned. The newest process does, once it takes connections.
func (p *Proxy) note(ctx context.Context) {
	select {
	case <-p.opened:
	default:
		return
	}
	var learned balancer.LearnedState
	err := p.loop.do(ctx, func() { learned = p.loop.bal.ExportState() })
	if err == nil {
		err = p.shared.note(learned)
	}
	if err != nil && ctx.Err() == nil {
		p.cfg.Log.Error("what was learned is not noted", "error", err)
	}
}

// agree follows what other processes of this proxy were told, and shares the limits with them while they live.
func (p *Proxy) agree(ctx context.Context) {
	tick := time.NewTicker(agreeEvery)
	defer tick.Stop()
	for alone, looks := true, 0; ; looks++ {
		if looks%learnedEvery == 0 && !p.front.draining.Load() {
			p.note(ctx)
		}
		if now := p.shared.alone(); now != alone {
			alone = now
			p.limit(alone)
		}
		p.front.succeeded.Store(p.shared.succeeded())
		p.shared.mu.Lock()
		err := p.shared.refresh()
		if err == nil && p.followed != p.shared.now.Version {
			err = p.follow(ctx)
		}
		p.shared.mu.Unlock()
		if err != nil && ctx.Err() == nil {
			p.cfg.Log.Error("shared state", "error", err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
