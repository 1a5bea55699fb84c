package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is an entry of a list in discovery's form.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// List is a list in discovery's form.
type List struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Serving returns the entry of a backend that has been serving for long.
func Serving(name, address string) Endpoint {
	return Endpoint{Name: name, Address: address, Zone: "town-hall", Type: "intake-std", Status: "SERVING", Weight: 1}
}

// Agent stands in for the discovery agent of a proxy's machine. It answers each call at once with what it has: the
// whole list, or what is newer than a version. While discovery is down it is silent.
type Agent struct {
	Address string

	c       *Case
	mu      sync.Mutex // guards the fields below
	list    List
	down    bool
	changed chan struct{} // closed at the next change of list or down
}

// StartAgent starts an agent that has the given list.
func (c *Case) StartAgent(list List) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Address: listener.Addr().String(), c: c, list: list, changed: make(chan struct{})}
	server := &http.Server{Handler: a}
	c.AtEnd(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return a, nil
}

// Set gives the agent another version of the whole list.
func (a *Agent) Set(endpoints []Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = List{Index: a.list.Index + 1, Snapshot: true, Endpoints: endpoints}
	a.wakeLocked()
}

// SetDown begins or ends an outage of discovery.
func (a *Agent) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
	a.wakeLocked()
	a.c.Note("discovery: down is %v", down)
}

func (a *Agent) wakeLocked() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		from = -1
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	end := time.After(time.Duration(hold) * time.Millisecond)
	over := from < 0 // whether the wait of a watch is over
	for {
		a.mu.Lock()
		list, down, changed := a.list, a.down, a.changed
		a.mu.Unlock()
		if !down && (over || list.Index != from) {
			if list.Index == from { // nothing is newer
				list = List{Index: from, Endpoints: []Endpoint{}}
			}
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(list)
			if len(list.Endpoints) > 0 {
				a.c.Note("discovery: told version %d", list.Index)
			}
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
