// Package controlwire is the Cap'n Proto form of the commands, results and snapshots of package control, and of the
// messages that stores send to control nodes.
package controlwire

//go:generate capnp compile -ogo control.capnp
