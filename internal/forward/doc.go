// Package forward sends one request to one backend and reads its answer.
//
// # Invariants
//
//   - A call of Do writes the request at most once.
//   - An answer is returned only if it carries the attempt id of the request.
//   - Of a stream only whole events are returned. An answer that ends without the proper end of its body is an error, never
//     a short answer.
//   - A Failure states by its Outcome what is known: whether the request was sent, and whether it ran. That decides what the
//     client may get, and whether the request may be sent again.
//
// Client.Run, which the owner of the Client starts, closes idle connections. A request runs in the goroutine of its caller;
// an end of its context closes the connection to the backend.
//
// # Files, in the order of a request
//
//   - client.go: the client, and an attempt at a backend
//   - request.go, headers.go, encode.go: a request, and how it is written
//   - connection.go: connections that know for how long a backend keeps them
//   - roundtrip.go: a request and the head of its answer on one connection
//   - response.go, serverload.go: an answer, and the load that its backend reports
//   - body.go, events.go: the body of an answer, and the events of a stream
//   - failure.go: why an attempt brought no answer
package forward
