package store

import "maps"

// RouteStats are the figures of the items of one route in the partitions that a store is the head of.
type RouteStats struct {
	// Waiting items are kept here and run nowhere. Of those, Late ones are past the time at which results are due.
	Waiting, Late int
	// Running items have an attempt under way.
	Running int
}

// Stats are the figures of a store.
type Stats struct {
	// Partitions that the store keeps a replica of, and of those the ones that it runs the items of.
	Partitions, Heads int
	Routes            map[string]RouteStats
}

// Stats gives the store's figures.
func (s *Service) Stats() Stats {
	s.mutex.Lock()
	partitions := maps.Clone(s.partitions)
	s.mutex.Unlock()
	stats := Stats{Partitions: len(partitions), Routes: map[string]RouteStats{}}
	for _, served := range partitions {
		if r := served.runner.Load(); r != nil {
			stats.Heads++
			r.addStats(stats.Routes)
		}
	}
	return stats
}

// addStats adds the runner's items to the figures of their routes.
func (r *runner) addStats(routes map[string]RouteStats) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, j := range r.jobs {
		stats := routes[j.open.Route]
		stats.Waiting += len(j.ready)
		if j.urgency.late {
			stats.Late += len(j.ready)
		}
		routes[j.open.Route] = stats
	}
	for _, d := range r.delayed {
		stats := routes[d.task.job.open.Route]
		stats.Waiting++
		routes[d.task.job.open.Route] = stats
	}
	for t := range r.running {
		stats := routes[t.job.open.Route]
		stats.Running++
		routes[t.job.open.Route] = stats
	}
}
