package forward

import (
	"hash/maphash"
	"slices"

	"nickelline/internal/upstream"
)

// maxRequestsPerConnection bounds the requests that one connection carries, and with that the memory of its attemptSet.
const maxRequestsPerConnection = 1000

// attemptSeed seeds the hashes of attempt ids.
var attemptSeed = maphash.MakeSeed()

// attemptSet holds the attempt ids that a connection has carried, as hashes. A backend may respond to a request twice, the second
// time at any later moment, so that a response is known to be that of the last request only if no earlier one had the same id. Two
// ids with the same hash cost a new connection, and nothing else. The nil set holds all ids.
type attemptSet struct{ hashes []uint32 }

// attemptsOf returns the set of a connection, or nil if it has none.
func attemptsOf(c *upstream.Conn) *attemptSet {
	b, ok := c.Conn.(*backendConn)
	if !ok {
		return nil
	}
	return &b.attempts
}

func attemptHash(id string) uint32 { return uint32(maphash.String(attemptSeed, id)) }

func (s *attemptSet) contains(id string) bool {
	return s == nil || slices.Contains(s.hashes, attemptHash(id))
}

func (s *attemptSet) add(id string) {
	if s != nil {
		s.hashes = append(s.hashes, attemptHash(id))
	}
}

// isFull reports whether the connection must carry no further request.
func (s *attemptSet) isFull() bool { return s == nil || len(s.hashes) >= maxRequestsPerConnection }
