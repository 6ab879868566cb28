// Package chainwire holds the generated Cap'n Proto messages of package chain.
package chainwire

//go:generate sh -c "capnp compile -I $(go list -m -f {{.Dir}} capnproto.org/go/capnp/v3)/std -ogo chain.capnp"
