package registry

import (
	"cmp"
	"encoding/json"
	"slices"

	"baylock/internal/discovery"
)

// A version is the number of a replica's start and, in its low bits, the sequence number of the list's last log entry.
// Both fit the 53 bits that every reader of JSON keeps.
const sequenceBits = 32

// record is the last change of an endpoint that a replica has; of status Deleted, a tombstone.
type record struct {
	endpoint discovery.Endpoint
	number   int64 // of the change
}

type logEntry struct {
	name     string // of the endpoint that changed
	complete int64  // up to which change the version before this entry was complete
}

// memberList is one replica's copy of a list, with a log of what changed in it since the replica's start.
type memberList struct {
	epoch   int64
	limit   int // entries that the log may hold
	records map[string]record
	missing []int64 // numbers of the accepted changes that have not come yet, ascending
	latest  int64   // number of the last accepted change

	base    int64 // sequence number of the oldest version that the log covers
	entries []logEntry
	changed chan struct{} // closed and replaced at each new version

	whole       []byte // the encoded whole list at this version; nil: not encoded yet
	changes     []byte // the encoded changes since changesFrom; nil: not encoded yet
	changesFrom int64
}

func newMemberList(epoch int64, limit int) *memberList {
	return &memberList{epoch: epoch, limit: limit, records: map[string]record{}, changed: make(chan struct{})}
}

// restart begins a new log with what the list holds.
func (l *memberList) restart(epoch int64) {
	l.epoch, l.base, l.entries = epoch, 0, nil
	l.forgetEncoded()
}

func (l *memberList) version() int64 {
	return l.epoch<<sequenceBits + l.base + int64(len(l.entries))
}

// covers tells whether the log holds all that is newer than a version.
func (l *memberList) covers(version int64) bool {
	return version >= l.epoch<<sequenceBits+l.base && version <= l.version()
}

// complete is the number up to which the list has every accepted change.
func (l *memberList) complete() int64 {
	if len(l.missing) > 0 {
		return l.missing[0] - 1
	}
	return l.latest
}

// completeAt is the same at a version, or NothingKnown where the log does not cover it.
func (l *memberList) completeAt(version int64) int64 {
	switch {
	case !l.covers(version):
		return NothingKnown
	case version == l.version():
		return l.complete()
	default:
		return l.entries[l.position(version)].complete
	}
}

// position is the place in the log of the first entry after a version that it covers.
func (l *memberList) position(version int64) int64 {
	return version - l.epoch<<sequenceBits - l.base
}

// expect notes that a change has been accepted somewhere.
func (l *memberList) expect(number int64) {
	l.missing = append(l.missing, number)
	l.latest = number
}

// apply takes a change in, unless the list has it. An endpoint that a later change concerns stays as that left it.
func (l *memberList) apply(number int64, endpoints []discovery.Endpoint) {
	at, isMissing := slices.BinarySearch(l.missing, number)
	if !isMissing {
		return
	}
	newer := make([]record, 0, len(endpoints))
	for _, e := range endpoints {
		newer = append(newer, record{endpoint: e, number: number})
	}
	l.store(newer)
	l.missing = slices.Delete(l.missing, at, at+1)
}

// merge takes in all that another replica's copy has.
func (l *memberList) merge(peer *memberList) {
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

// store keeps those records that are newer than the list's own and logs them.
func (l *memberList) store(records []record) {
	before := l.version()
	for _, r := range records {
		name := r.endpoint.Name
		if l.records[name].number >= r.number {
			continue
		}
		l.entries = append(l.entries, logEntry{name: name, complete: l.complete()})
		l.records[name] = r
	}
	if excess := len(l.entries) - l.limit; excess > 0 {
		l.entries = slices.Clone(l.entries[excess:])
		l.base += int64(excess)
	}
	if l.version() != before {
		l.forgetEncoded()
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// dropTombstones forgets the endpoints deleted by changes up to a number, which every replica has by now.
func (l *memberList) dropTombstones(settled int64) {
	for name, r := range l.records {
		if r.endpoint.Status == discovery.Deleted && r.number <= settled {
			delete(l.records, name)
		}
	}
}

func (l *memberList) forgetEncoded() { l.whole, l.changes = nil, nil }

// encodeWhole gives the whole list in the form of the wire.
func (l *memberList) encodeWhole() []byte {
	if l.whole == nil {
		endpoints := make([]discovery.Endpoint, 0, len(l.records))
		for _, r := range l.records {
			if r.endpoint.Status != discovery.Deleted {
				endpoints = append(endpoints, r.endpoint)
			}
		}
		slices.SortFunc(endpoints, func(a, b discovery.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
		l.whole = encode(&discovery.List{Index: l.version(), Snapshot: true, Endpoints: endpoints})
	}
	return l.whole
}

// encodeChanges gives what is newer than a version that the log covers, each endpoint as it is now.
func (l *memberList) encodeChanges(from int64) []byte {
	if l.changes == nil || l.changesFrom != from {
		list := &discovery.List{Index: l.version(), Endpoints: l.changedSince(from)}
		l.changes, l.changesFrom = encode(list), from
	}
	return l.changes
}

func (l *memberList) changedSince(from int64) []discovery.Endpoint {
	endpoints := []discovery.Endpoint{}
	seen := map[string]bool{}
	for _, entry := range l.entries[l.position(from):] {
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

// encode gives a list in the form of the wire.
func encode(list *discovery.List) []byte {
	data, err := json.Marshal(list)
	if err != nil {
		panic(err) // checkChanges lets no figure in that JSON cannot hold
	}
	return data
}
