// Package decide makes the decisions of a load-balancing proxy node: which backend gets a request, when another attempt
// is made, when a request is shed or refused.
//
// It does no I/O, reads no clock and starts no goroutine: the caller feeds events to Module.Handle and carries out the
// actions that it returns, in order. The same settings, seed and events produce the same actions. The rules that
// always hold are in rules.go: no attempt breaks the limits of Settings, no request that may have run runs again unless
// its class allows that, and each request gets one final answer.
//
// The overload control follows a published scheme of load control with hysteresis: each backend has one of three modes,
// delimited by the thresholds L < H < R on its load. A node that sends its backends most of their requests compares its
// own attempts in flight with H. A node with only a partial view of their load goes by the backends' reports or, without
// reports, by latency.
//
// The interface is in settings.go, events.go and actions.go. The decisions, in reading order:
//
//   - module.go: the state of a node, the entry point Handle, the periodic checks
//   - backend.go, request.go: the state of a backend; of a class, a request and a tenant
//   - rules.go, selection.go, attempts.go: what is allowed; which backend a request gets; attempts, retries, final answers
//   - modes.go, thresholds.go, estimates.go: the modes, their thresholds, and the estimates behind the thresholds
//   - reports.go, capacity.go, latency.go: what is learned from load reports, answer rates and latencies
//   - shedding.go: drop probabilities
//   - health.go, trials.go, coldstart.go: suspects, trial requests to them, and backends that have just started
//   - subset.go, list.go: the backends in use; the list of backends and the subscription to it
//   - peers.go: the estimates that nodes exchange
//   - status.go, random.go: log lines; random numbers and the decay of averages
package decide
