package standin2

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a backend in discovery's list.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// List is discovery's list.
type List struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Agent is discovery's agent on a proxy's machine. It answers at once with what it has.
type Agent struct {
	Address string

	c       *Case
	mu      sync.Mutex // guards the fields below
	list    List
	changed chan struct{} // closed at each change
	history []Entry       // the entry changed by each version after first
	first   int64
	down    bool // calls get no answer, also those that wait already
	outages int  // how often discovery has gone down
}

// StartAgent starts an agent with a list.
func (c *Case) StartAgent(entries []Entry) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{c: c, Address: listener.Addr().String(), list: List{Index: 41, Snapshot: true, Endpoints: entries},
		changed: make(chan struct{}), first: 41}
	go func() { _ = http.Serve(listener, a) }()
	return a, nil
}

// List returns the whole list.
func (a *Agent) List() *List {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.list
	list.Endpoints = append([]Entry(nil), list.Endpoints...)
	return &list
}

// Change replaces one entry of the list, or adds or deletes it, and tells it to all watches.
func (a *Agent) Change(e Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var entries []Entry
	for _, old := range a.list.Endpoints {
		if old.Name != e.Name {
			entries = append(entries, old)
		}
	}
	if e.Status != "DELETED" {
		entries = append(entries, e)
	}
	a.list.Endpoints = entries
	a.list.Index++
	a.history = append(a.history, e)
	close(a.changed)
	a.changed = make(chan struct{})
	a.c.Log("discovery: version %d: %s %s since %d", a.list.Index, e.Name, e.Status, e.SinceMs)
}

// answer returns the list, or the changes since a version.
func (a *Agent) answer(from int64) (list List, changed chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from < a.first || from > a.list.Index {
		return a.list, a.changed
	}
	return List{Index: a.list.Index, Endpoints: append([]Entry{}, a.history[from-a.first:]...)}, a.changed
}

// SetDown makes discovery unreachable or reachable again. A call that meets an outage stays silent for good, also after the
// outage, as on a connection to a machine that was cut off.
func (a *Agent) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if down && !a.down {
		a.outages++
	}
	a.down = down
	a.c.Log("discovery: down %v", down)
}

// state returns whether discovery is down and how often it has gone down.
func (a *Agent) state() (down bool, outages int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.down, a.outages
}

// ServeHTTP implements http.Handler.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	down, outages := a.state()
	a.c.Log("discovery: a call from version %d, down %v", from, down)
	hold, _ := strconv.ParseInt(r.URL.Query().Get("hold_ms"), 10, 64)
	list, changed := a.answer(from)
	if !down && !list.Snapshot && len(list.Endpoints) == 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		list, _ = a.answer(from)
	}
	if _, now := a.state(); down || now != outages {
		<-r.Context().Done()
		a.c.Log("discovery: the proxy has given up a call from version %d", from)
		return
	}
	data, _ := json.Marshal(list)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
