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

// discoveryConnKey is the context key of the connection on which a call to fakeDiscovery arrived.
type discoveryConnKey struct{}

// fakeDiscovery answers each call with the next of its answers. It holds calls open while it has no answer.
type fakeDiscovery struct {
	addr    string
	answers chan string   // the next answers; "" closes the connection without an answer
	calls   chan string   // the queries of the calls that have arrived
	ended   chan struct{} // closed to end the calls that are held open
}

func startDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{answers: make(chan string, 10), calls: make(chan string, 1000), ended: make(chan struct{})}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := r.Context().Value(discoveryConnKey{}).(net.Conn)
		d.calls <- r.URL.RawQuery
		select {
		case text := <-d.answers:
			if r.Context().Err() != nil || socket.PeerClosed(conn) { // the client has abandoned this call
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

// listJSON returns an endpoint list. full is false if entries are only the changes since the previous version.
func listJSON(index int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, full, strings.Join(entries, ","))
}

func listEntry(name, addr string, status discovery.Status) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":1,"status":%q,"weight":1,"since_ms":0}`,
		name, addr, status)
}

// servingList returns a complete endpoint list of serving backends, which are named a, b and so on.
func servingList(backends ...*backendtest.Backend) string {
	var entries []string
	for i, b := range backends {
		entries = append(entries, listEntry(string(rune('a'+i)), b.Address, discovery.Serving))
	}
	return listJSON(1, true, entries...)
}
