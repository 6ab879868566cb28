// Package peerwire holds the generated Cap'n Proto messages of package peer.
package peerwire

//go:generate sh -c "capnp compile -I $(go list -m -f {{.Dir}} capnproto.org/go/capnp/v3)/std -ogo peer.capnp"
