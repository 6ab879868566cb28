// Package placementwire holds the generated Cap'n Proto messages of package placement.
package placementwire

//go:generate sh -c "capnp compile -I $(go list -m -f {{.Dir}} capnproto.org/go/capnp/v3)/std -ogo placement.capnp"
