package discovery

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"baylock/balancer"
)

func TestParseListReadsEntries(t *testing.T) {
	list, err := ParseList([]byte(`{"index":43,"snapshot":false,"endpoints":[
		{"name":"s","address":"10.1.0.18:8443","zone":"a","type":"m2","group":3,"status":"DRAINING","weight":0.5,"since_ms":7},
		{"name":"u","status":"DELETED"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if list.Index != 43 || list.Snapshot || len(list.Endpoints) != 2 {
		t.Fatalf("got %+v", list)
	}
	if e := list.Endpoints[0]; e.Name != "s" || e.Address != "10.1.0.18:8443" || e.Zone != "a" || e.Cell != 3 ||
		e.Status != Draining || *e.Weight != 0.5 || e.SinceMs != 7 {
		t.Errorf("got %+v", e)
	}
	if e := list.Endpoints[1]; e.Status != Deleted || e.Weight != nil {
		t.Errorf("got %+v", e)
	}
}

func TestParseListRejectsInvalidList(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"no JSON":        {`{"index":`, "unexpected end"},
		"no index":       {`{"snapshot":true,"endpoints":[]}`, "index, snapshot or endpoints is missing"},
		"no snapshot":    {`{"index":1,"endpoints":[]}`, "index, snapshot or endpoints is missing"},
		"no endpoints":   {`{"index":1,"snapshot":true}`, "index, snapshot or endpoints is missing"},
		"no name":        {`{"index":1,"snapshot":true,"endpoints":[{"status":"DELETED"}]}`, "endpoints[0]: name is missing"},
		"no port":        {`{"index":1,"snapshot":true,"endpoints":[{"name":"s","address":"h","status":"SERVING"}]}`, "endpoints[0]: address h"},
		"unknown status": {`{"index":1,"snapshot":true,"endpoints":[{"name":"s","status":"AWAY"}]}`, `endpoints[0]: unknown status "AWAY"`},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseList([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v", err)
			}
		})
	}
}

func TestReadListReturnsErrorForStatus(t *testing.T) {
	for status, unavailable := range map[int]bool{503: true, 500: false, 404: false} {
		resp := &http.Response{StatusCode: status, Status: http.StatusText(status), Body: io.NopCloser(strings.NewReader(""))}
		if _, err := readList(resp); err == nil || errors.Is(err, errUnavailable) != unavailable {
			t.Errorf("status %d: got %v", status, err)
		}
	}
}

func TestZonesNumberUnknownZoneByHash(t *testing.T) {
	zones := NewZones([]string{"a", "b"})
	if a, b := zones.Number("a"), zones.Number("b"); a != 0 || b != 1 {
		t.Errorf("a is %d, b is %d", a, b)
	}
	if c, d := zones.Number("c"), zones.Number("d"); c < 2 || d < 2 || c == d || c != zones.Number("c") {
		t.Errorf("c is %d, d is %d, c again %d", c, d, zones.Number("c"))
	}
}

func TestZonesConvertEndpoints(t *testing.T) {
	weight := 0.25
	got := NewZones([]string{"a", "b"}).Endpoints([]Endpoint{
		{Name: "s", Zone: "b", Cell: 3, Status: Serving, SinceMs: 7},
		{Name: "u", Zone: "a", Status: Draining, Weight: &weight},
	})
	if s := got[0]; s.ID != "s" || s.Zone != 1 || s.Cell != 3 || s.State != balancer.Ready || s.Capacity != 1 || s.StartedAt != 7000 {
		t.Errorf("got %+v", s)
	}
	if u := got[1]; u.ID != "u" || u.Zone != 0 || u.State != balancer.Draining || u.Capacity != 0.25 || u.StartedAt != 0 {
		t.Errorf("got %+v", u)
	}
}
