package registry

import (
	"cmp"
	"encoding/json"
	"slices"

	"baylock/internal/discovery"
)

// A version consists of the epoch of a replica's start and, in the low sequenceBits bits, the sequence number of the
// list's last log entry. Together they fit into 53 bits, the integer size that every JSON parser reads exactly.
const sequenceBits = 32

// record is the latest change of an endpoint that a replica has stored. A record with status Deleted is a tombstone.
type record struct {
	endpoint discovery.Endpoint
	number   int64 // of the change
}

type logEntry struct {
	name            string // of the endpoint that changed
	completeThrough int64  // of the list at the version before this entry
}

// endpointList is one replica's copy of an endpoint list, with a log of the changes since the replica's start.
type endpointList struct {
	epoch        int64
	logLimit     int // maximum number of entries in the log
	records      map[string]record
	missing      []int64 // numbers of accepted changes that this replica has not received yet, ascending
	lastAccepted int64   // number of the last accepted change

	baseSequence int64 // sequence number of the oldest version that the log covers
	entries      []logEntry
	changed      chan struct{} // closed and replaced at each new version

	snapshot       []byte // the encoded list at the current version; nil: not encoded yet
	encodedChanges []byte // the encoded changes since changesFrom; nil: not encoded yet
	changesFrom    int64
}

func newEndpointList(epoch int64, limit int) *endpointList {
	return &endpointList{epoch: epoch, logLimit: limit, records: map[string]record{}, changed: make(chan struct{})}
}

// resetLog starts a new log at the current contents of the list.
func (l *endpointList) resetLog(epoch int64) {
	l.epoch, l.baseSequence, l.entries = epoch, 0, nil
	l.clearEncoded()
}

func (l *endpointList) version() int64 {
	return l.epoch<<sequenceBits + l.baseSequence + int64(len(l.entries))
}

// covers reports whether the log contains all changes since a version.
func (l *endpointList) covers(version int64) bool {
	return version >= l.epoch<<sequenceBits+l.baseSequence && version <= l.version()
}

// completeThrough returns the change number up to which this copy has every accepted change of the list.
func (l *endpointList) completeThrough() int64 {
	if len(l.missing) > 0 {
		return l.missing[0] - 1
	}
	return l.lastAccepted
}

// completeThroughAt returns completeThrough as of a version, or Unknown if the log does not cover the version.
func (l *endpointList) completeThroughAt(version int64) int64 {
	switch {
	case !l.covers(version):
		return Unknown
	case version == l.version():
		return l.completeThrough()
	default:
		return l.entries[l.logIndex(version)].completeThrough
	}
}

// logIndex returns the index in entries of the first log entry after a version that the log covers.
func (l *endpointList) logIndex(version int64) int64 {
	return version - l.epoch<<sequenceBits - l.baseSequence
}

// expectChange records that a change was accepted by some replica and has yet to be applied here.
func (l *endpointList) expectChange(number int64) {
	l.missing = append(l.missing, number)
	l.lastAccepted = number
}

// apply applies a change unless the list already has it. Endpoints with a later change keep that change.
func (l *endpointList) apply(number int64, endpoints []discovery.Endpoint) {
	index, isMissing := slices.BinarySearch(l.missing, number)
	if !isMissing {
		return
	}
	records := make([]record, 0, len(endpoints))
	for _, e := range endpoints {
		records = append(records, record{endpoint: e, number: number})
	}
	l.store(records)
	l.missing = slices.Delete(l.missing, index, index+1)
}

// merge applies all changes that another replica's copy of the list has.
func (l *endpointList) merge(peer *endpointList) {
	newer := make([]record, 0)
	for name, r := range peer.records {
		if r.number > l.records[name].number {
			newer = append(newer, r)
		}
	}
	slices.SortFunc(newer, func(a, b record) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.endpoint.Name, b.endpoint.Name))
	})
	l.store(newer)
	l.missing = slices.DeleteFunc(l.missing, func(number int64) bool {
		_, peerMisses := slices.BinarySearch(peer.missing, number)
		return !peerMisses
	})
}

// store stores and logs those records that are newer than the list's record of the same endpoint.
func (l *endpointList) store(records []record) {
	before := l.version()
	for _, r := range records {
		name := r.endpoint.Name
		if l.records[name].number >= r.number {
			continue
		}
		l.entries = append(l.entries, logEntry{name: name, completeThrough: l.completeThrough()})
		l.records[name] = r
	}
	if excess := len(l.entries) - l.logLimit; excess > 0 {
		l.entries = slices.Clone(l.entries[excess:])
		l.baseSequence += int64(excess)
	}
	if l.version() != before {
		l.clearEncoded()
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// dropTombstones removes the tombstones of changes numbered up to replicatedThrough, which every replica has.
func (l *endpointList) dropTombstones(replicatedThrough int64) {
	for name, r := range l.records {
		if r.endpoint.Status == discovery.Deleted && r.number <= replicatedThrough {
			delete(l.records, name)
		}
	}
}

func (l *endpointList) clearEncoded() { l.snapshot, l.encodedChanges = nil, nil }

// encodeSnapshot returns the complete list in wire format.
func (l *endpointList) encodeSnapshot() []byte {
	if l.snapshot == nil {
		endpoints := make([]discovery.Endpoint, 0, len(l.records))
		for _, r := range l.records {
			if r.endpoint.Status != discovery.Deleted {
				endpoints = append(endpoints, r.endpoint)
			}
		}
		slices.SortFunc(endpoints, func(a, b discovery.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
		l.snapshot = encode(&discovery.List{Index: l.version(), Snapshot: true, Endpoints: endpoints})
	}
	return l.snapshot
}

// encodeChanges returns the current state of each endpoint that changed since a version, in wire format. The log must
// cover the version.
func (l *endpointList) encodeChanges(from int64) []byte {
	if l.encodedChanges == nil || l.changesFrom != from {
		list := &discovery.List{Index: l.version(), Endpoints: l.changedSince(from)}
		l.encodedChanges, l.changesFrom = encode(list), from
	}
	return l.encodedChanges
}

func (l *endpointList) changedSince(from int64) []discovery.Endpoint {
	endpoints := []discovery.Endpoint{}
	seen := map[string]bool{}
	for _, entry := range l.entries[l.logIndex(from):] {
		if seen[entry.name] {
			continue
		}
		seen[entry.name] = true
		endpoint := discovery.Endpoint{Name: entry.name, Status: discovery.Deleted}
		if r, ok := l.records[entry.name]; ok {
			endpoint = r.endpoint
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// encode encodes a list in wire format.
func encode(list *discovery.List) []byte {
	data, err := json.Marshal(list)
	if err != nil {
		panic(err) // checkChanges rejects what JSON cannot represent
	}
	return data
}
