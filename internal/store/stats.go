package store

import (
	"maps"
	"time"

	"nickelline/internal/chain"
)

// RouteStats counts the items of one route in the partitions whose head is this store.
type RouteStats struct {
	// Waiting counts the items that are not running, and Late those of them whose job is past the route's completion target.
	// Delayed items count as Waiting but not as Late.
	Waiting, Late int
	// Running counts the items with an attempt in progress.
	Running int
}

// Stats are the metrics of a store.
type Stats struct {
	// Partitions counts the partitions of which the store has a replica, and Heads those of them whose items it runs.
	Partitions, Heads int
	// Lagging counts the replicas that keep their partition from being fully replicated, and LongestLag is for how long the one
	// has done so that has lagged longest.
	Lagging    int
	LongestLag time.Duration
	// Unopened counts the partitions that could not be opened so far, because the disk failed.
	Unopened int
	// Disk is the status of the disk: the sum of the failures of all replicas, and the trouble that has lasted longest.
	Disk chain.DiskStatus
	// Failing counts the replicas with an operation that the disk does not carry out at present.
	Failing int
	// Routes counts the items by the name of their route.
	Routes map[string]RouteStats
	// Held counts how often an item that was next was not sent, by the name of its route and the reason.
	Held map[string]map[string]uint64
	// Abandoned counts the items that were abandoned, by the name of their route and the reason.
	Abandoned map[string]map[string]uint64
}

// Stats returns the store's current metrics.
func (s *Service) Stats() Stats {
	s.mutex.Lock()
	partitions := maps.Clone(s.partitions)
	lagging, longest := s.monitor.longest(time.Now())
	unopened := len(s.unopened.failures)
	s.mutex.Unlock()
	stats := Stats{
		Partitions: len(partitions),
		Lagging:    lagging,
		LongestLag: longest,
		Unopened:   unopened,
		Disk:       s.DiskStatus(),
		Routes:     map[string]RouteStats{},
		Held:       s.runnerConfig.held.byRoute(),
		Abandoned:  s.runnerConfig.abandoned.byRoute(),
	}
	for _, hosted := range partitions {
		if !hosted.node.DiskStatus().FailingSince.IsZero() {
			stats.Failing++
		}
		if r := hosted.runner.Load(); r != nil {
			stats.Heads++
			r.addStats(stats.Routes)
		}
	}
	return stats
}

// DiskStatus returns the sum of the failures of all replicas' disks, and the trouble that has lasted longest.
func (s *Service) DiskStatus() chain.DiskStatus {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := chain.DiskStatus{FailingSince: s.unopened.since, Err: s.unopened.err()}
	for _, hosted := range s.partitions {
		total = total.Add(hosted.node.DiskStatus())
	}
	return total
}

// addStats adds the counts of the runner's items to those of their routes.
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
		stats := routes[item.Job.Pending.Route.Name]
		stats.Running++
		routes[item.Job.Pending.Route.Name] = stats
	}
}
