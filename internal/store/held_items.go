package store

import "sync"

// holdReason is why a waiting item was not sent when it was next.
type holdReason string

const (
	// heldByAdmission: no backend has capacity for the item.
	heldByAdmission holdReason = "refused"
	// heldByRoute: the configuration here does not tell which service runs the item.
	heldByRoute holdReason = "no_route"
	// heldBySlots: the store runs as many items as it may.
	heldBySlots holdReason = "no_slot"
)

// heldKey identifies a counter of heldItems.
type heldKey struct {
	route  string
	reason holdReason
}

// heldItems counts how often an item that was next was not sent, by route and reason. It is safe for concurrent use.
type heldItems struct {
	mutex  sync.Mutex
	counts map[heldKey]uint64
}

func newHeldItems() *heldItems { return &heldItems{counts: map[heldKey]uint64{}} }

func (h *heldItems) record(route string, reason holdReason) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.counts[heldKey{route: route, reason: reason}]++
}

// byRoute returns the counts by route and reason.
func (h *heldItems) byRoute() map[string]map[string]uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	routes := map[string]map[string]uint64{}
	for key, count := range h.counts {
		if routes[key.route] == nil {
			routes[key.route] = map[string]uint64{}
		}
		routes[key.route][string(key.reason)] = count
	}
	return routes
}
