// Package discoverywire holds the generated Cap'n Proto messages of package discovery.
package discoverywire

//go:generate sh -c "capnp compile -I $(go list -m -f {{.Dir}} capnproto.org/go/capnp/v3)/std -ogo discovery.capnp"
