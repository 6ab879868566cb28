// Package quotawire holds the generated Cap'n Proto messages of package quota.
package quotawire

//go:generate sh -c "capnp compile -I $(go list -m -f {{.Dir}} capnproto.org/go/capnp/v3)/std -ogo quota.capnp"
