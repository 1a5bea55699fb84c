package discovery

import (
	"encoding/json"
	"reflect"
	"testing"
)

func TestCatalogAppliesListsAndChanges(t *testing.T) {
	entry := func(name string, status Status) Endpoint {
		return Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "z", Cell: 2, Status: status, SinceMs: 3}
	}
	catalog := NewCatalog()
	if catalog.Index() != NoVersion || len(catalog.List().Endpoints) != 0 {
		t.Errorf("a new catalog has version %d and %v", catalog.Index(), catalog.List())
	}
	catalog.Apply(&List{Index: 7, Snapshot: true, Endpoints: []Endpoint{entry("b", Serving), entry("a", Serving), entry("c", Serving)}})
	catalog.Apply(&List{Index: 9, Endpoints: []Endpoint{entry("a", Draining), {Name: "b", Status: Deleted}, entry("d", Serving)}})
	want := &List{Index: 9, Snapshot: true, Endpoints: []Endpoint{entry("a", Draining), entry("c", Serving), entry("d", Serving)}}
	if got := catalog.List(); !reflect.DeepEqual(got, want) || catalog.Index() != 9 {
		t.Errorf("got %+v, want %+v", got, want)
	}
	data, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	if parsed, err := ParseList(data); err != nil || !reflect.DeepEqual(parsed, want) {
		t.Errorf("parsed back: got %+v, %v", parsed, err)
	}
	catalog.Apply(&List{Index: 8, Snapshot: true, Endpoints: []Endpoint{entry("e", Serving), entry("f", Deleted)}})
	if got := catalog.List(); got.Index != 8 || len(got.Endpoints) != 1 || got.Endpoints[0].Name != "e" {
		t.Errorf("after a complete list: got %+v", got)
	}
}
