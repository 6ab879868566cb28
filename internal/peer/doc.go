// Package peer carries messages between the processes of the system: requests with responses and one-way messages over
// one TCP connection for each pair of processes, and datagrams over UDP. Frames are Cap'n Proto messages (package
// peerwire).
//
// # Guarantees
//
//   - A call that gets no response fails with fault.NotReady if the request was certainly not sent, and with
//     fault.Unclear if it may have arrived. It is never sent twice. Errors of handlers keep their kind and text.
//   - One-way messages to a peer arrive in order or not at all. Datagrams may be lost, repeated or reordered.
//   - A queue to a peer is bounded: what does not fit fails at once.
//
// # Connections
//
// A connection is made when it is first needed, from either side, and again on the next use after it failed. Each side
// starts with a hello frame with its listening address and the number of its process. If both sides dial at the same
// time, both connections work, and each side goes on using its own. A connection of an earlier process at the same
// address is closed. An attempt at a connection begins anew when the peer is heard meanwhile, by a hello or a datagram:
// one that began before the peer's machine had power would wait. A connection that is idle for some time is retired: both
// sides start nothing new on it, what is pending is finished, and then it is closed.
//
// # Goroutines
//
// Transport.Start starts three: accept, receiveDatagrams and checkIdle. Each connection has two: one dials (or reads the
// hello) and then reads frames, one writes the queue. Each attempt at dialling has one more, which ends with it. All end
// when Transport.Close has closed the sockets, and Close waits for them. Each request is handled in a goroutine of its own,
// for which Close does not wait: its context is cancelled. Handlers of one-way messages and datagrams run on the reading
// goroutine and must not block.
//
// # Files in reading order
//
//   - kinds.go, frame.go, codec.go: messages and frames
//   - transport.go, listen.go: the endpoint of a process
//   - send.go, datagram.go: sending, and receiving datagrams
//   - connection.go, queue.go, write.go, receive.go, call.go: one connection, its queue and its pending calls
//   - accept.go, dial.go, socket.go, idle.go: how connections come and go
//   - traffic.go: counts of sent bytes
package peer
