// Package batchcallwire is the Cap'n Proto form of the messages of package batchcall.
package batchcallwire

//go:generate capnp compile -I ../../../.. -ogo batchcallwire.capnp
