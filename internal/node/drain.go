package node

import "time"

// After SIGTERM connections come for 0.4 s more; the rest of drainAcceptTime is for the accept queue. Clients go on using
// the connections that they have, and SIGKILL comes killDelay after the longest deadline, which counts for
// maxDrainDeadline at most.
const (
	drainAcceptTime  = 600 * time.Millisecond
	maxDrainDeadline = 3 * time.Second
	killDelay        = 700 * time.Millisecond
	// killMargin is kept from SIGKILL: the last answers have left by then.
	killMargin = 200 * time.Millisecond
	// lastRequestsBefore that end no more requests are taken.
	lastRequestsBefore = 300 * time.Millisecond
	// drainAnswerTime after that end is for the module's own answers; the same again for the rest.
	drainAnswerTime   = 50 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// drain ends the service of the node. Clients still come for a moment, and what the kernel has accepted counts as taken:
// so the listener stays open for that long. On the connections that they have, clients are served for as long as an answer
// can come before the node is killed: the other nodes of its zone may be few, and have its clients soon enough. Then
// connections are closed, but none that a request has come on, not even a part of one; those are answered.
func (f *frontend) drain(clients *admission) {
	end := time.Now().Add(min(f.longestDeadline(), maxDrainDeadline) + killDelay - killMargin)
	f.drainEnd.Store(&end) // by then all is answered
	f.log.Info("draining")
	time.Sleep(drainAcceptTime)
	clients.TCPListener.Close()
	f.waitForClients(clients, end.Add(-lastRequestsBefore))
	f.closing.Store(true)
	f.waitForClients(clients, end.Add(drainAnswerTime))
	close(f.answersDue) // requests from before the signal may have more time than the node
	f.waitForClients(clients, end.Add(2*drainAnswerTime))
	clients.refuseRest()
	f.log.Info("drained", "held", clients.openConnections())
}

func (f *frontend) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range f.classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// waitForClients waits until no client is connected, or until the given time. Once the node takes no more requests it
// closes the connections on which none has begun.
func (f *frontend) waitForClients(clients *admission, until time.Time) {
	for time.Until(until) > 0 && clients.openConnections() > 0 {
		if f.closing.Load() {
			clients.closeQuiet()
		}
		time.Sleep(drainPollInterval)
	}
}
