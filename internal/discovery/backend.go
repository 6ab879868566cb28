package discovery

import (
	"net/netip"
	"time"
)

// Backend is one incarnation of a backend of a service, as the platform lists it.
type Backend struct {
	// ID identifies the incarnation: a restarted backend has another one.
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	// Version is the version of the backend's software.
	Version string
	// Slots is how many requests it works on at the same time; 0: not known.
	Slots int
	// Draining backends are about to end and must not be sent new requests.
	Draining bool
	// Cold is for how long after the poll it was expected to be slow, as it had just started.
	Cold time.Duration
}
