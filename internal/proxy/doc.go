// Package proxy is the data plane of the serving tier: it accepts client requests, routes them by the configuration, and
// returns the responses of backends.
//
// # Invariants
//
//   - A request is answered 408, 429 or 503 only if it has not been executed and will not be: clients rely on this.
//   - A request is retried only if it has not been executed, or if its route allows more than one execution. It is
//     executed by no more backends than the route allows.
//   - The connection of an incomplete response is closed, so that the response does not look complete.
//   - Every check that can reject a request runs after the whole request has been read. A process that resumes after it was
//     suspended therefore does not act on outdated state.
//
// # Transport
//
// The server is the HTTP/1.1 server of hertz on its standard transport, without hertz's router and engine: those rewrite
// paths, and their shutdown closes the listener first, which a drain must not do. Both transports of hertz detect that a
// client closes, resets or half-closes its connection while a request is served, reject a truncated body, and allow a
// response to end without its terminator. Only netpoll detects that a client disconnects after it has pipelined another
// request, which the clients of this proxy do not do. The standard transport is used because it leaves reads to the
// connection (see clientConn): a drain may close a connection only if no part of a request has been read from it, and
// netpoll reads ahead by itself. A client that closes only its sending side counts as disconnected.
//
// # Goroutines
//
// Serve runs until Drain has ended or Close is called. It starts a goroutine for the readiness listener, and waits for it
// unless the listener for clients has failed. Hertz starts a goroutine for each connection, which serves the requests of
// that connection. The context of a request is cancelled when its client disconnects.
//
// # Files, in the order of a request
//
//   - proxy.go: options, start and stop
//   - connections.go, clientconn.go: accepting connections, and their timeouts
//   - server.go, request.go: reading and validating a request by means of hertz
//   - serve.go, auth.go: the route and the tenant
//   - exchange.go, admissionrequest.go, selection.go: attempts at backends, and the selection of the backend for each
//   - retry.go: whether a request is retried, and the error if it is not
//   - streaming.go: event streams, resumed at another backend if they are interrupted
//   - responsewriter.go, errors.go: the response to the client
//   - batch.go: the batch API
//   - drain.go: readiness and graceful shutdown
//   - stats.go: counters for metrics
package proxy
