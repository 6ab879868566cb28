package node

import "time"

// New connections arrive for up to 0.4 s after SIGTERM; the rest of drainAcceptTime is for the accept queue. Clients
// keep using the connections that they have. The time from SIGTERM to SIGKILL is the longest deadline of a class, at
// most maxDrainDeadline, plus killDelay.
const (
	drainAcceptTime  = 600 * time.Millisecond
	maxDrainDeadline = 3 * time.Second
	killDelay        = 700 * time.Millisecond
	// killMargin is the time from the end of draining to SIGKILL, within which the last responses are sent.
	killMargin = 200 * time.Millisecond
	// requestCutoff is how long before the end of draining the node stops accepting requests.
	requestCutoff = 300 * time.Millisecond
	// drainResponseTime is the time after the end of draining in which the module may still respond. After it, the node
	// itself has the same time to respond to the remaining requests.
	drainResponseTime = 50 * time.Millisecond
	// drainPollInterval is the time between two checks whether clients are still connected.
	drainPollInterval = 20 * time.Millisecond
)

// drain shuts the node down gracefully. New clients still arrive for a moment, and a connection that the kernel has
// accepted counts as accepted by the node, so the listener stays open for drainAcceptTime. Clients are then served on
// their existing connections for as long as a response can arrive before SIGKILL, because the other nodes of the zone
// may be few and should not get all of these clients early. After that, drain closes the connections, except those on
// which a request has arrived, even in part; these are answered first.
func (f *frontend) drain(clients *clientListener) {
	end := time.Now().Add(min(f.longestDeadline(), maxDrainDeadline) + killDelay - killMargin)
	f.drainEnd.Store(&end) // the deadline of all requests from now on
	f.log.Info("draining")
	time.Sleep(drainAcceptTime)
	clients.TCPListener.Close()
	f.waitForClients(clients, end.Add(-requestCutoff))
	f.closing.Store(true)
	f.waitForClients(clients, end.Add(drainResponseTime))
	close(f.responsesDue) // the deadlines of requests from before the signal may be later than this
	f.waitForClients(clients, end.Add(2*drainResponseTime))
	clients.refuseRemaining()
	f.log.Info("drained", "held", clients.openConnections())
}

// longestDeadline returns the longest deadline of all classes.
func (f *frontend) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range f.classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// waitForClients waits until no client is connected, or until the given time. Once the node accepts no more requests,
// it closes the connections on which no further request has begun.
func (f *frontend) waitForClients(clients *clientListener, until time.Time) {
	for time.Until(until) > 0 && clients.openConnections() > 0 {
		if f.closing.Load() {
			clients.closeInactive()
		}
		time.Sleep(drainPollInterval)
	}
}
