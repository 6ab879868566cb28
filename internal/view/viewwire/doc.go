// Package viewwire holds the generated Cap'n Proto messages of package view.
package viewwire

//go:generate sh -c "capnp compile -I $(go list -m -f {{.Dir}} capnproto.org/go/capnp/v3)/std -ogo view.capnp"
