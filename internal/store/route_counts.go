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

// routeCountKey identifies a counter of routeCounts.
type routeCountKey[R ~string] struct {
	route  string
	reason R
}

// routeCounts counts what happens to items, by route and reason. It is safe for concurrent use.
type routeCounts[R ~string] struct {
	mutex  sync.Mutex
	counts map[routeCountKey[R]]uint64
}

func newRouteCounts[R ~string]() *routeCounts[R] {
	return &routeCounts[R]{counts: map[routeCountKey[R]]uint64{}}
}

func (c *routeCounts[R]) add(route string, reason R, count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts[routeCountKey[R]{route: route, reason: reason}] += uint64(count)
}

// byRoute returns the counts by route and reason.
func (c *routeCounts[R]) byRoute() map[string]map[string]uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	routes := map[string]map[string]uint64{}
	for key, count := range c.counts {
		if routes[key.route] == nil {
			routes[key.route] = map[string]uint64{}
		}
		routes[key.route][string(key.reason)] = count
	}
	return routes
}
