package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
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

// agent stands in for the discovery agent of a proxy's machine. Its list does not change: it answers a call for the
// whole list at once, and a watch at the end of its wait.
type agent struct{ list List }

// startAgent starts an agent and returns its address.
func (c *Case) startAgent(list List) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: agent{list}}
	c.AtEnd(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (a agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := a.list
	if from, err := strconv.Atoi(r.URL.Query().Get("from")); err == nil && from == a.list.Index {
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		select {
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		answer = List{Index: from, Endpoints: []Endpoint{}}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
