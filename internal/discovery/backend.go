package discovery

import (
	"net/netip"
	"time"
)

// Backend is one incarnation of a backend of a service, as the platform lists it.
type Backend struct {
	// ID identifies the incarnation: a restarted backend has a new one.
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	// Version is the version of the backend's software.
	Version string
	// Slots is the number of requests that the backend processes concurrently, 0 if unknown.
	Slots int
	// Draining is set if the backend is about to shut down. It must not be sent new requests.
	Draining bool
	// ColdRemaining is how long after the poll a recently started backend was expected to remain slow.
	ColdRemaining time.Duration
}
