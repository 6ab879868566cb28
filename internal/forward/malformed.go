package forward

import (
	"errors"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/discovery"
	"nickelline/internal/responsehead"
)

// malformedLogInterval is the least time between two log entries on malformed responses of one backend.
const malformedLogInterval = 10 * time.Second

// malformedResponses counts the malformed responses of backends, and logs which backends they come from.
type malformedResponses struct {
	log *zap.Logger

	mutex     sync.Mutex
	byReason  map[responsehead.Reason]uint64
	byBackend map[string]*malformedBackend // by the id of the backend
}

// malformedBackend is a backend that has sent malformed responses.
type malformedBackend struct {
	loggedAt time.Time // zero if nothing was logged yet
	unlogged int       // responses since then
}

func newMalformedResponses(log *zap.Logger) *malformedResponses {
	if log == nil {
		log = zap.NewNop()
	}
	return &malformedResponses{
		log:       log,
		byReason:  map[responsehead.Reason]uint64{},
		byBackend: map[string]*malformedBackend{},
	}
}

// record takes in the error of an attempt at a backend. Errors other than those of malformed responses are ignored.
func (m *malformedResponses) record(backend string, err error, now time.Time) {
	var malformed *responsehead.MalformedError
	if !errors.As(err, &malformed) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.byReason[malformed.Reason]++
	known := m.byBackend[backend]
	if known == nil {
		known = &malformedBackend{}
		m.byBackend[backend] = known
	}
	known.unlogged++
	if now.Sub(known.loggedAt) < malformedLogInterval {
		return
	}
	m.log.Warn("malformed responses of a backend", zap.String("backend", backend), zap.Int("responses", known.unlogged),
		zap.String("reason", string(malformed.Reason)), zap.String("line", malformed.Line))
	known.loggedAt, known.unlogged = now, 0
}

// retain forgets the backends that are not listed.
func (m *malformedResponses) retain(list *discovery.List) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	maps.DeleteFunc(m.byBackend, func(id string, _ *malformedBackend) bool {
		_, listed := list.Get(id)
		return !listed
	})
}

// counts returns the number of malformed responses by reason.
func (m *malformedResponses) counts() map[string]uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	counts := make(map[string]uint64, len(m.byReason))
	for reason, count := range m.byReason {
		counts[string(reason)] = count
	}
	return counts
}
