// Package forward sends one request to one backend and reads its response.
//
// # Invariants
//
//   - A call of Do writes the request at most once.
//   - Nothing in a response is believed unless its head, and the heads of the interim responses before it, are well-formed
//     (package responsehead). After a malformed head the request may have run, and the connection is closed.
//   - A response is returned only if it carries the attempt id of the request. It may come before the whole body of the request
//     was written. No connection carries two requests with the same attempt id, so that a backend's second response to one of
//     them, however late, is never taken for the response to the other.
//   - Of a stream only whole events are returned. A response that ends without the proper end of its body is an error, never
//     a short response.
//   - The Outcome of a Failure states what is known: whether the request was sent, and whether it ran. This determines what
//     the client may be told, and whether the request may be sent again. A request whose head was written may have run.
//
// # Goroutines
//
// Client.Run, which the owner of the Client starts, closes idle connections. A request runs in the goroutine of its caller;
// when its context ends, the connection to the backend is closed. A request that the connection does not accept at once is
// written by a further goroutine, and its connection may be released by another one; both end by the deadline of the request.
//
// # Files, in the order of a request
//
//   - client.go: the client, and an attempt at a backend
//   - request.go, headers.go, encode.go: a request, and how it is written
//   - connection.go, attempt_set.go: connections, how long their backends keep them open, and which attempts they have carried
//   - requestwrite.go: writing a request while its response may already come
//   - roundtrip.go: a request and the head of its response on one connection
//   - responsefields.go: fields that a response may have once, or not at all
//   - response.go, serverload.go: a response, and the load that its backend reports
//   - body.go, events.go: the body of a response, and the events of a stream
//   - failure.go, malformed.go: why an attempt got no response, and counts of malformed ones
package forward
