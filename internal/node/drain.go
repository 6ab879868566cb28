package node

import "time"

// drain lets the node go. Clients still come for a moment, and what the kernel has accepted counts as taken: so
// the listener stays open for that long. On the connections that they have they are served for as long as an answer
// can come before the node is killed: the others of its zone may be few, and have its clients soon enough. Then
// connections are closed, but none that a request has come on, not even a part of one; those are answered.
func (f *frontend) drain(door *admission) {
	longest := time.Duration(0)
	for _, c := range f.classes {
		longest = max(longest, c.Deadline)
	}
	end := time.Now().Add(min(longest, maxDrainDeadline) + killDelay - killMargin)
	f.drainEnd.Store(&end) // by then all is answered
	f.log.Info("draining")
	time.Sleep(drainAcceptTime)
	door.TCPListener.Close()
	wait := func(until time.Time) {
		for time.Until(until) > 0 && door.openConnections() > 0 {
			if f.closing.Load() {
				door.closeQuiet()
			}
			time.Sleep(drainPollInterval)
		}
	}
	wait(end.Add(-lastRequestsBefore))
	f.closing.Store(true)
	wait(end.Add(drainAnswerTime))
	close(f.answersDue) // of what came before the signal some may have more time than the node
	wait(end.Add(2 * drainAnswerTime))
	door.refuseRest()
	f.log.Info("drained", "held", door.openConnections())
}
