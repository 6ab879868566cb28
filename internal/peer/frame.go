package peer

import (
	"net/netip"
	"time"

	"nickelline/internal/fault"
)

// Sizes of frames.
const (
	// MaxBody is the longest body of a message over TCP.
	MaxBody = 16 << 20
	// maxFrame leaves room for the other fields of a frame.
	maxFrame = MaxBody + 1024
	// frameFields is what a frame needs beside its body: the root pointer, the struct, the address of a hello.
	frameFields = 128

	wordSize     = 8
	streamHeader = 8 // number of segments less one, words in the first segment
)

type frameType uint8

const (
	helloFrame frameType = iota
	requestFrame
	responseFrame
	failureFrame
	oneWayFrame
	datagramFrame
	retireFrame
)

// frame is one frame of a connection, or a whole datagram. Its type says which of the fields are used.
type frame struct {
	frameType frameType
	kind      Kind
	body      []byte

	address    netip.AddrPort // hello
	generation uint64         // hello
	call       uint64         // request, answer, failure
	remaining  time.Duration  // request; 0: not limited
	errorKind  fault.Kind     // failure
}
