// Package proxy is the data plane of the serving tier: it takes clients' requests, finds by the configuration where they go,
// and returns the answers of backends.
//
// # Invariants
//
//   - A request is answered 408, 429 or 503 only if it has not run and will not run: clients rely on it.
//   - A request is sent again only if it has not run, or if its route allows it to run more than once; and it runs on no more
//     backends than the route allows.
//   - An answer that breaks off ends with its connection, so that it does not look complete.
//   - What may refuse a request is checked after the request has been read whole. A process that wakes after it was suspended
//     therefore does not act on what it knew before.
//
// # Transport
//
// The server is the HTTP/1.1 server of hertz on its standard transport, without hertz's router and engine: those rewrite
// paths, and their shutdown closes the listener first, which a drain must not. Both transports of hertz notice that a client
// closes, resets or half-closes its connection while a request is served, refuse a body that is cut short, and let an answer
// end without its proper end. Netpoll alone notices a client that leaves after it has sent a further request; these clients do
// not. The standard transport is used because it leaves the reading to the connection (see clientConn), which has to know
// whether anything of a request was read before the connection is closed in a drain; netpoll reads ahead by itself. A client
// that closes only its sending side counts as gone.
//
// # Goroutines
//
// Serve runs until Drain has ended or Close is called. It starts a goroutine for the readiness listener, and waits for it
// unless the listener for clients has failed; hertz starts one for each connection, in which the requests of the connection are served. The context of a request ends
// when its client leaves.
//
// # Files, in the order of a request
//
//   - proxy.go: options, start and end
//   - connections.go, clientconn.go: accepting connections, and how long each may take
//   - server.go, request.go: from hertz to a request that is read whole and checked
//   - serve.go, auth.go: the route and the tenant
//   - exchange.go, admissionrequest.go, selection.go: attempts at backends, and the choice of each
//   - retry.go: whether there is a further attempt, and the error if there is not
//   - streaming.go: streams of events, continued at another backend if they break off
//   - responsewriter.go, errors.go: the answer to the client
//   - batch.go: calls about batch jobs
//   - drain.go: readiness, and the orderly end
//   - stats.go: counters for metrics
package proxy
