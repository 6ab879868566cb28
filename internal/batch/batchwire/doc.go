// Package batchwire is the Cap'n Proto form of the commands and snapshots of package batch.
package batchwire

//go:generate sh -c "capnp compile -I $(go list -m -f {{.Dir}} capnproto.org/go/capnp/v3)/std -ogo batchwire.capnp"
