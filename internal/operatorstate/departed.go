package operatorstate

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

const (
	departedSuffix = ".json.departed." // followed by the slot of the process that writes the file

	// The file begins with the number of records written so far, which are in a ring of departedRecords behind it.
	departedHeaderSize = 8                   // bytes
	departedRecordSize = 8 + RequestHashSize // bytes: Unix time in microseconds, hash
	departedRecords    = 2048
)

// RequestHashSize is the size of a RequestHash in bytes.
const RequestHashSize = 16

// RequestHash identifies the ID of a request.
type RequestHash [RequestHashSize]byte

// HashRequestID returns the hash of a request's ID.
func HashRequestID(id string) RequestHash {
	sum := sha256.Sum256([]byte(id))
	return RequestHash(sum[:RequestHashSize])
}

// Departure is a request that may have run and whose client has left, so that its ID must not be used again.
type Departure struct {
	Request RequestHash
	At      time.Time
}

// DepartureLog shares the departures of a proxy's processes. Each process writes a file of its own and reads those of the
// others. A DepartureLog is not safe for concurrent use.
type DepartureLog struct {
	locks *lockFile
	base  string // of the file names
	own   *departureFile
	peers map[int64]*departureFile // by slot
}

// OpenDepartures opens the log of departures. It is nil for an in-memory store.
func (s *Store) OpenDepartures() (*DepartureLog, error) {
	if s.locks == nil {
		return nil, nil
	}
	l := &DepartureLog{locks: s.locks, base: s.departedBase, peers: map[int64]*departureFile{}}
	own, err := openDepartureFile(l.path(s.locks.slot), os.O_RDWR|os.O_CREATE)
	if err != nil {
		return nil, fmt.Errorf("departures: %w", err)
	}
	l.own = own
	return l, nil
}

func (l *DepartureLog) path(slot int64) string { return fmt.Sprint(l.base, slot) }

// Append adds a departure of this process.
func (l *DepartureLog) Append(d Departure) error { return l.own.append(d) }

// LoadAll returns all departures in the files of all slots, whether their processes are running or not.
func (l *DepartureLog) LoadAll() ([]Departure, error) {
	var all []Departure
	var failures []error
	for slot := range int64(processSlots) {
		file, err := openDepartureFile(l.path(slot), os.O_RDONLY)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err == nil {
			var departures []Departure
			departures, err = file.readNew()
			all = append(all, departures...)
			file.Close()
		}
		failures = append(failures, err)
	}
	return all, errors.Join(failures...)
}

// UpdatePeers makes ReadPeers read the files of exactly the other processes that are running.
func (l *DepartureLog) UpdatePeers() error {
	var failures []error
	for slot := range int64(processSlots) {
		peer := l.peers[slot]
		switch running := slot != l.locks.slot && l.locks.isHeldByOther(firstSlotByte+slot); {
		case running && peer == nil:
			file, err := openDepartureFile(l.path(slot), os.O_RDONLY)
			if err == nil {
				l.peers[slot] = file
			} else if !errors.Is(err, os.ErrNotExist) {
				failures = append(failures, err)
			}
		case !running && peer != nil:
			peer.Close()
			delete(l.peers, slot)
		}
	}
	return errors.Join(failures...)
}

// ReadPeers returns the departures that other running processes have added since the last call.
func (l *DepartureLog) ReadPeers() ([]Departure, error) {
	var added []Departure
	var failures []error
	for _, peer := range l.peers {
		departures, err := peer.readNew()
		added = append(added, departures...)
		failures = append(failures, err)
	}
	return added, errors.Join(failures...)
}

// Close closes all files.
func (l *DepartureLog) Close() {
	l.own.Close()
	for _, peer := range l.peers {
		peer.Close()
	}
}

// departureFile is the file of one process. Only that process writes it.
type departureFile struct {
	*os.File
	written uint64 // records written so far; used by the process that writes the file
	read    uint64 // records read so far; used by other processes
}

// openDepartureFile opens a file, of which nothing has been read.
func openDepartureFile(path string, flag int) (*departureFile, error) {
	file, err := os.OpenFile(path, flag, fileMode)
	if err != nil {
		return nil, err
	}
	f := &departureFile{File: file}
	if f.written, err = f.count(); err != nil {
		file.Close()
		return nil, err
	}
	return f, nil
}

// count returns the number of records in the header; an empty file has none.
func (f *departureFile) count() (uint64, error) {
	var header [departedHeaderSize]byte
	if _, err := f.ReadAt(header[:], 0); err != nil && !errors.Is(err, io.EOF) {
		return 0, err
	}
	return binary.LittleEndian.Uint64(header[:]), nil
}

// append writes a record, and then the header that makes it visible.
func (f *departureFile) append(d Departure) error {
	var record [departedRecordSize]byte
	binary.LittleEndian.PutUint64(record[:], uint64(d.At.UnixMicro()))
	copy(record[8:], d.Request[:])
	if _, err := f.WriteAt(record[:], recordOffset(f.written)); err != nil {
		return err
	}
	var header [departedHeaderSize]byte
	binary.LittleEndian.PutUint64(header[:], f.written+1)
	if _, err := f.WriteAt(header[:], 0); err != nil {
		return err
	}
	f.written++
	return nil
}

// readNew returns the records that have been written since the last call.
func (f *departureFile) readNew() ([]Departure, error) {
	written, err := f.count()
	if err != nil || written == f.read {
		return nil, err
	}
	if written < f.read || written-f.read > departedRecords {
		f.read = written - min(written, departedRecords)
	}
	var added []Departure
	for ; f.read < written; f.read++ {
		var record [departedRecordSize]byte
		if _, err := f.ReadAt(record[:], recordOffset(f.read)); err != nil {
			return added, err
		}
		added = append(added, Departure{
			Request: RequestHash(record[8:]),
			At:      time.UnixMicro(int64(binary.LittleEndian.Uint64(record[:]))),
		})
	}
	return added, nil
}

func recordOffset(record uint64) int64 {
	return departedHeaderSize + int64(record%departedRecords)*departedRecordSize
}
