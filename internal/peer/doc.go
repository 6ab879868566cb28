// Package peer sends messages between the processes of the system: requests with responses and one-way messages over
// one TCP connection for each pair of processes, and datagrams over UDP. Frames are Cap'n Proto messages (package
// peerwire).
//
// # Guarantees
//
//   - A call that gets no response fails with fault.NotReady if the request was certainly not sent, and with
//     fault.Unclear if it may have arrived. A request is never sent twice. An error that a handler returns reaches the
//     caller with its kind and text.
//   - One-way messages to a peer arrive in order or not at all. Datagrams may be lost, duplicated or reordered.
//   - The send queue of a connection is bounded. A message that does not fit fails at once.
//
// # Connections
//
// The side that first has something to send dials. After a failure, the next message dials again. Each side starts with
// a hello frame that contains its listening address and its generation, a random number that identifies the process. If
// both sides dial at the same time, both connections work, and each side sends on the one that it dialled. A connection
// to an earlier process at the same address is closed. When a hello or a datagram arrives from a peer that is being
// dialled, the dial restarts: the SYN of an attempt that began before the peer's machine was up is lost, and that
// attempt would wait for the kernel to repeat it. A connection that stays idle is retired: neither side starts anything
// new on it, pending calls finish, and then it is closed.
//
// # Goroutines
//
// Transport.Start starts three: accept, receiveDatagrams and checkIdle. Each connection has two: one dials (or reads
// the hello) and then reads frames, the other writes the queue. Each dial attempt has one more, which ends with the
// attempt. All of them end when Transport.Close has closed the sockets, and Close waits for them. Each request is
// handled in its own goroutine; Close cancels the context of the handler but does not wait for it. Handlers of one-way
// messages and datagrams run on the reading goroutine and must not block.
//
// # Files in reading order
//
//   - kinds.go, frame.go, codec.go: messages and frames
//   - transport.go, listen.go: the endpoint of a process
//   - send.go, datagram.go: sending, and receiving datagrams
//   - connection.go, queue.go, write.go, receive.go, call.go: one connection, its queue and its pending calls
//   - accept.go, dial.go, socket.go, idle.go: opening and closing connections
//   - traffic.go: counts of sent bytes
package peer
