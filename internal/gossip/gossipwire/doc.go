// Package gossipwire holds the generated Cap'n Proto messages of package gossip.
package gossipwire

//go:generate sh -c "capnp compile -I $(go list -m -f {{.Dir}} capnproto.org/go/capnp/v3)/std -ogo gossip.capnp"
