package message

import "time"

const (
	aheadPieceSize = 16 << 10 // bytes

	// readAheadTime is how long ReadAhead goes on while bytes follow each other. By then, all that the client had written when
	// it began has arrived.
	readAheadTime = 5 * refillTime
)

// readAhead holds pieces of a body that have been received before they are needed.
type readAhead struct {
	pieces      [][]byte
	size        int          // bytes in all pieces
	reservation *Reservation // of the memory of the pieces
}

// read moves bytes of the first piece to b and returns how many.
func (a *readAhead) read(b []byte) int {
	if len(a.pieces) == 0 {
		return 0
	}
	n := copy(b, a.pieces[0])
	a.size -= n
	if a.pieces[0] = a.pieces[0][n:]; len(a.pieces[0]) == 0 {
		a.pieces[0] = nil // frees it
		a.pieces = a.pieces[1:]
		a.reservation.Grow(-aheadPieceSize)
	}
	return n
}

// ReadAhead reads what has arrived of the body, and what follows soon, so that a close of the connection behind it becomes
// visible. Until then the kernel reports an open connection if its receive buffer is full. The stream keeps what is read. It
// returns false if more has arrived than limit bytes or the reservation allows. ReadAhead must not be called during a read.
func (s *RequestStream) ReadAhead(reservation *Reservation, limit int) (visible bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ahead.reservation = reservation
	begin := time.Now()
	for lastRead := begin; s.input != nil; {
		unread, ok := s.input.Unread()
		now := time.Now()
		if !ok || unread == 0 && (now.Sub(lastRead) >= refillTime || now.Sub(begin) >= readAheadTime) {
			break
		}
		if unread == 0 {
			time.Sleep(refillCheckInterval)
			continue
		}
		if s.ahead.size >= limit || !reservation.Grow(aheadPieceSize) {
			return false
		}
		if s.readPieceLocked() != nil {
			break // the body has ended or failed, which the next read reports again
		}
		lastRead = time.Now()
	}
	return true
}

func (s *RequestStream) readPieceLocked() error {
	piece := make([]byte, aheadPieceSize)
	n, err := s.readLocked(piece)
	if n == 0 {
		s.ahead.reservation.Grow(-aheadPieceSize)
		return err
	}
	s.ahead.pieces = append(s.ahead.pieces, piece[:n])
	s.ahead.size += n
	return err
}
