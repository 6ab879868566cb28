package store

import "maps"

// RouteStats counts the items of one route in the partitions that a store is the head of.
type RouteStats struct {
	// Waiting items are not running. Of those, Late ones are past the route's completion target.
	Waiting, Late int
	// Running items have an attempt under way.
	Running int
}

// Stats are the metrics of a store.
type Stats struct {
	// Partitions counts those of which the store has a replica, and Heads those of them whose items it runs.
	Partitions, Heads int
	// Routes are the items by the name of their route.
	Routes map[string]RouteStats
}

// Stats returns the store's present metrics.
func (s *Service) Stats() Stats {
	s.mutex.Lock()
	partitions := maps.Clone(s.partitions)
	s.mutex.Unlock()
	stats := Stats{Partitions: len(partitions), Routes: map[string]RouteStats{}}
	for _, hosted := range partitions {
		if r := hosted.runner.Load(); r != nil {
			stats.Heads++
			r.addStats(stats.Routes)
		}
	}
	return stats
}

// addStats adds the runner's items to those of their routes.
func (r *runner) addStats(routes map[string]RouteStats) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for route, count := range r.schedule.CountByRoute() {
		stats := routes[route]
		stats.Waiting += count.Waiting
		stats.Late += count.Late
		routes[route] = stats
	}
	for item := range r.running {
		stats := routes[item.Job.Pending.Route]
		stats.Running++
		routes[item.Job.Pending.Route] = stats
	}
}
