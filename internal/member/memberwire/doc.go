// Package memberwire holds the generated Cap'n Proto messages of package member.
package memberwire

//go:generate sh -c "capnp compile -I $(go list -m -f {{.Dir}} capnproto.org/go/capnp/v3)/std -ogo member.capnp"
