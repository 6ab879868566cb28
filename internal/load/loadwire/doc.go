// Package loadwire holds the generated Cap'n Proto messages of package load.
package loadwire

//go:generate sh -c "capnp compile -I $(go list -m -f {{.Dir}} capnproto.org/go/capnp/v3)/std -ogo load.capnp"
