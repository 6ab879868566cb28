// Package decide makes the decisions of a load-balancing proxy node: which backend gets a request, when another attempt
// is made, when a request is shed or refused.
//
// It does no I/O, reads no clock and starts no goroutine: the caller feeds events to Module.Handle and carries out the
// actions that it returns, in order. The same settings, seed and events bring about the same actions. The rules that
// always hold are in rules.go: no attempt breaks the limits of Settings, no request that may have run runs again unless
// its class allows that, and each request gets one final answer.
//
// The overload control follows a published scheme of three modes for each backend with the thresholds L < H < R. Where a
// node has most of the requests at its backends it compares its own attempts in flight with H; where it sees little of
// their load it goes by the backends' reports or, without reports, by latency.
//
// The interface is in settings.go, events.go and actions.go. The decisions, in reading order:
//
//   - module.go: the state of a node, the entry point Handle, the periodic checks
//   - backend.go, request.go: the state of a backend; of a class, a request and a tenant
//   - rules.go, selection.go, attempts.go: what is allowed; which backend a request gets; attempts, retries, final answers
//   - modes.go, thresholds.go, estimates.go: the modes, their thresholds, and the estimates these are drawn from
//   - reports.go, capacity.go, latency.go: what is learned from load reports, rates of answers, and latencies
//   - shedding.go: drop probabilities
//   - health.go, trials.go, coldstart.go: suspects, trial requests to them, and backends that have just started
//   - subset.go, list.go: the backends in use; the list of backends and the subscription to it
//   - peers.go: what nodes send each other
//   - status.go, random.go: log lines; the random numbers and the fading of averages
package decide
