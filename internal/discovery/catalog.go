package discovery

import (
	"maps"
	"slices"
)

// Catalog is the complete endpoint list, kept up to date with lists and changes. It is not safe for concurrent use.
type Catalog struct {
	index     int64
	endpoints map[string]Endpoint // by name
}

// NewCatalog returns an empty catalog with the version NoVersion.
func NewCatalog() *Catalog { return &Catalog{index: NoVersion, endpoints: map[string]Endpoint{}} }

// Index returns the version of the list applied last, or NoVersion.
func (c *Catalog) Index() int64 { return c.index }

// Apply replaces the catalog with a complete list, or applies a list of changes to it.
func (c *Catalog) Apply(list *List) {
	c.index = list.Index
	if list.Snapshot {
		clear(c.endpoints)
	}
	for _, endpoint := range list.Endpoints {
		if endpoint.Status == Deleted {
			delete(c.endpoints, endpoint.Name)
		} else {
			c.endpoints[endpoint.Name] = endpoint
		}
	}
}

// List returns the complete list, ordered by name.
func (c *Catalog) List() *List {
	list := &List{Index: c.index, Snapshot: true, Endpoints: make([]Endpoint, 0, len(c.endpoints))}
	for _, name := range slices.Sorted(maps.Keys(c.endpoints)) {
		list.Endpoints = append(list.Endpoints, c.endpoints[name])
	}
	return list
}
