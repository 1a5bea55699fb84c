package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"baylock/internal/backendtest"
	"baylock/internal/discovery"
	"baylock/internal/socket"
)

// discoveryConnKey is the context key of the connection that a call to fakeDiscovery arrived on.
type discoveryConnKey struct{}

// fakeDiscovery answers calls in the order of its answers, and then holds every watch.
type fakeDiscovery struct {
	addr    string
	answers chan string   // the next answers; "" breaks the connection
	calls   chan string   // the queries that came
	ended   chan struct{} // ends the held calls
}

func startDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{answers: make(chan string, 10), calls: make(chan string, 1000), ended: make(chan struct{})}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := r.Context().Value(discoveryConnKey{}).(net.Conn)
		d.calls <- r.URL.RawQuery
		select {
		case text := <-d.answers:
			if r.Context().Err() != nil || socket.PeerClosed(conn) { // its client has abandoned this call
				d.answers <- text
				return
			}
			if text == "" {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, text)
		case <-d.ended:
		case <-r.Context().Done():
		}
	}))
	s.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, discoveryConnKey{}, c)
	}
	s.Start()
	d.addr = strings.TrimPrefix(s.URL, "http://")
	t.Cleanup(func() { close(d.ended); s.Close() })
	return d
}

func listJSON(index int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, full, strings.Join(entries, ","))
}

func listEntry(name, addr string, status discovery.Status) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":1,"status":%q,"weight":1,"since_ms":0}`,
		name, addr, status)
}

// servingList is the complete list of serving backends, named a, b and so on.
func servingList(backends ...*backendtest.Backend) string {
	var entries []string
	for i, b := range backends {
		entries = append(entries, listEntry(string(rune('a'+i)), b.Address, discovery.Serving))
	}
	return listJSON(1, true, entries...)
}
