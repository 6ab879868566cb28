package main

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/admission"
	"nickelline/internal/chain"
	"nickelline/internal/control"
	"nickelline/internal/forward"
	"nickelline/internal/metrics"
	"nickelline/internal/nodestate"
	"nickelline/internal/peer"
	"nickelline/internal/proxy"
	"nickelline/internal/quota"
	"nickelline/internal/store"
)

// serveMetrics starts serving the metrics of the process if the settings name an endpoint, otherwise it does nothing. A failure
// is only logged, since the process does its work without metrics too.
func (n *node) serveMetrics(sources ...metrics.Source) {
	if n.settings.Metrics == "" {
		return
	}
	endpoint, err := metrics.ParseEndpoint(n.settings.Metrics)
	if err != nil {
		n.log.Error("parse metrics endpoint failed", zap.String("endpoint", n.settings.Metrics), zap.Error(err))
		return
	}
	server, err := metrics.Listen(n.settings.IP, endpoint)
	if err != nil {
		n.log.Error("listen for metrics failed", zap.String("endpoint", n.settings.Metrics), zap.Error(err))
		return
	}
	server.Add(n.writeNode)
	for _, source := range sources {
		server.Add(source)
	}
	go func() {
		if err := server.Serve(); err != nil {
			n.log.Error("serve metrics failed", zap.Error(err))
		}
	}()
}

// writeNode writes the metrics that the processes of all roles have.
func (n *node) writeNode(w *metrics.Writer) {
	w.Gauge("nickelline_members_alive", float64(len(n.members.Table().Running())))
	writeTraffic(w, n.transport.SentByPackage())
}

func writeTraffic(w *metrics.Writer, sent []peer.PackageTraffic) {
	for _, s := range sent {
		name := metrics.Label{Name: "package", Value: s.Package}
		w.Counter("nickelline_sent_bytes_total", s.SameZone, name, metrics.Label{Name: "to", Value: "zone"})
		w.Counter("nickelline_sent_bytes_total", s.OtherZones, name, metrics.Label{Name: "to", Value: "other zones"})
	}
}

// poolMetrics returns a source of the metrics of the admission pools.
func poolMetrics(state *nodestate.State) metrics.Source {
	return func(w *metrics.Writer) {
		w.Counter("nickelline_unreadable_versions_total", state.UnreadableVersions())
		pools := state.Pools()
		for _, service := range slices.Sorted(maps.Keys(pools)) {
			writePool(w, metrics.Label{Name: "service", Value: service}, pools[service].Stats(time.Now()))
		}
	}
}

func writePool(w *metrics.Writer, service metrics.Label, stats admission.Stats) {
	w.Gauge("nickelline_backends", float64(stats.Backends), service)
	w.Gauge("nickelline_backends_ejected", float64(stats.Ejected), service)
	w.Gauge("nickelline_in_flight", float64(stats.InFlight), service, metrics.Label{Name: "of", Value: "this node"})
	w.Gauge("nickelline_in_flight", stats.Others, service, metrics.Label{Name: "of", Value: "others"})
	w.Gauge("nickelline_first_part_smoothed_seconds", stats.Latency.Seconds(), service)
	w.Gauge("nickelline_first_part_uncrowded_seconds", stats.UnloadedLatency.Seconds(), service)
	w.Gauge("nickelline_live_slots_part", stats.LiveFraction, service)
	w.Gauge("nickelline_loads_shared", boolGauge(stats.Shared), service)
	for i := range stats.Classes {
		writeClass(w, service, &stats.Classes[i])
	}
}

func writeClass(w *metrics.Writer, service metrics.Label, stats *admission.ClassStats) {
	class := metrics.Label{Name: "class", Value: string(stats.Class)}
	writeCounts(w, "nickelline_picks_total", "band", stats.Picks, service, class)
	writeCounts(w, "nickelline_refusals_total", "reason", stats.Refusals, service, class)
	writeCounts(w, "nickelline_attempts_total", "outcome", stats.Outcomes, service, class)
	w.Gauge("nickelline_drop_fraction", stats.DropFraction, service, class)
	for _, mode := range slices.Sorted(maps.Keys(stats.Modes)) {
		w.Gauge("nickelline_backends_by_mode", float64(stats.Modes[mode]), service, class, metrics.Label{Name: "mode", Value: mode})
	}
	writeFirstByteTimes(w, &stats.FirstByteTimes, service, class)
}

func writeCounts(w *metrics.Writer, name, label string, counts map[string]uint64, labels ...metrics.Label) {
	for _, value := range slices.Sorted(maps.Keys(counts)) {
		w.Counter(name, counts[value], append(slices.Clone(labels), metrics.Label{Name: label, Value: value})...)
	}
}

// writeFirstByteTimes writes a histogram, in which each bucket counts the times at or below its bound.
func writeFirstByteTimes(w *metrics.Writer, times *admission.FirstByteTimes, labels ...metrics.Label) {
	const name = "nickelline_first_part_seconds"
	total := uint64(0)
	for i, count := range times.Counts {
		total += count
		bound := "+Inf"
		if i < len(times.Bounds) {
			bound = strconv.FormatFloat(times.Bounds[i].Seconds(), 'g', -1, 64)
		}
		w.Counter(name+"_bucket", total, append(slices.Clone(labels), metrics.Label{Name: "le", Value: bound})...)
	}
	w.Gauge(name+"_sum", times.Sum.Seconds(), labels...)
	w.Counter(name+"_count", total, labels...)
}

// senderMetrics returns a source of the metrics of the client of backends.
func senderMetrics(sender *forward.Client) metrics.Source {
	return func(w *metrics.Writer) {
		writeCounts(w, "nickelline_malformed_answers_total", "reason", sender.MalformedResponses())
	}
}

// proxyMetrics returns a source of the metrics of a proxy and of its quota leases.
func proxyMetrics(p *proxy.Proxy, limiter *quota.Limiter) metrics.Source {
	return func(w *metrics.Writer) {
		writeRequests(w, p.Stats())
		writeLeases(w, limiter.Stats(time.Now()))
	}
}

func writeRequests(w *metrics.Writer, stats proxy.Stats) {
	w.Counter("nickelline_answers_passed_total", stats.BackendResponses)
	for _, kind := range slices.Sorted(maps.Keys(stats.ErrorResponses)) {
		w.Counter("nickelline_answers_own_total", stats.ErrorResponses[kind], metrics.Label{Name: "kind", Value: kind.String()})
	}
	w.Counter("nickelline_sends_total", stats.Attempts)
	w.Counter("nickelline_retries_total", stats.Retries)
	w.Counter("nickelline_executions_total", stats.Executions)
	w.Counter("nickelline_repeated_executions_total", stats.Repeated)
}

func writeLeases(w *metrics.Writer, leases quota.Stats) {
	w.Gauge("nickelline_quota_leases", float64(leases.Leases))
	w.Gauge("nickelline_quota_leased_per_second", leases.Rate)
	w.Gauge("nickelline_quota_waiting", float64(leases.Waiting))
	from := func(source string) metrics.Label { return metrics.Label{Name: "from", Value: source} }
	w.Counter("nickelline_quota_admitted_total", leases.FromLeases, from("lease"))
	w.Counter("nickelline_quota_admitted_total", leases.FromAllocator, from("allocator"))
	w.Counter("nickelline_quota_refunded_total", leases.Refunded)
}

// allocatorMetrics returns a source of the metrics of the quota allocator, which only the head of the control chain has. The
// service is nil in a process without a replica.
func allocatorMetrics(service *quota.Service) metrics.Source {
	return func(w *metrics.Writer) {
		if service == nil {
			return
		}
		if stats, active := service.AllocatorStats(time.Now()); active {
			writeAllocator(w, stats)
		}
	}
}

func writeAllocator(w *metrics.Writer, stats quota.AllocatorStats) {
	w.Gauge("nickelline_quota_grace_period", boolGauge(stats.InGrace))
	w.Gauge("nickelline_quota_unreclaimed", float64(stats.Unreclaimed))
	w.Gauge("nickelline_quota_highest_level", stats.HighestLevel)
	w.Gauge("nickelline_quota_granted", stats.Granted)
	w.Gauge("nickelline_quota_returned", stats.Returned)
}

// storeMetrics returns a source of the metrics of a store's partitions and batch items.
func storeMetrics(s *store.Service) metrics.Source {
	return func(w *metrics.Writer) { writeItems(w, s.Stats()) }
}

func writeItems(w *metrics.Writer, stats store.Stats) {
	w.Gauge("nickelline_partitions", float64(stats.Partitions))
	w.Gauge("nickelline_partitions_headed", float64(stats.Heads))
	w.Gauge("nickelline_replicas_lagging", float64(stats.Lagging))
	w.Gauge("nickelline_replicas_lagging_seconds", stats.LongestLag.Seconds())
	w.Gauge("nickelline_replicas_refused", float64(stats.Failing))
	w.Gauge("nickelline_partitions_unopened", float64(stats.Unopened))
	writeDisk(w, stats.Disk)
	for _, route := range slices.Sorted(maps.Keys(stats.Routes)) {
		items, label := stats.Routes[route], metrics.Label{Name: "route", Value: route}
		w.Gauge("nickelline_batch_items_waiting", float64(items.Waiting), label)
		w.Gauge("nickelline_batch_items_late", float64(items.Late), label)
		w.Gauge("nickelline_batch_items_running", float64(items.Running), label)
	}
	writeRouteCounts(w, "nickelline_batch_items_held_total", stats.Held)
	writeRouteCounts(w, "nickelline_batch_items_abandoned_total", stats.Abandoned)
}

// controlMetrics returns a source of the metrics of the disk of a control process.
func controlMetrics(c *control.Control) metrics.Source {
	return func(w *metrics.Writer) { writeDisk(w, c.DiskStatus()) }
}

// writeDisk writes how often the disk has failed, and for how long it has not done what is tried again and again.
func writeDisk(w *metrics.Writer, disk chain.DiskStatus) {
	w.Counter("nickelline_disk_failures_total", disk.Failures)
	failing := time.Duration(0)
	if !disk.FailingSince.IsZero() {
		failing = time.Since(disk.FailingSince)
	}
	w.Gauge("nickelline_disk_failing_seconds", failing.Seconds())
}

// writeRouteCounts writes a counter that has labels for the route and the reason.
func writeRouteCounts(w *metrics.Writer, name string, counts map[string]map[string]uint64) {
	for _, route := range slices.Sorted(maps.Keys(counts)) {
		for _, reason := range slices.Sorted(maps.Keys(counts[route])) {
			w.Counter(name, counts[route][reason],
				metrics.Label{Name: "route", Value: route}, metrics.Label{Name: "reason", Value: reason})
		}
	}
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
