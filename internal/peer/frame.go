package peer

import (
	"net/netip"
	"time"

	"nickelline/internal/fault"
)

// Sizes of frames.
const (
	// MaxBodyBytes is the maximum size of the body of a message over TCP.
	MaxBodyBytes = 16 << 20
	// maxFrameBytes is the maximum size of a frame over TCP: a body and the other fields.
	maxFrameBytes = MaxBodyBytes + 1024
	// frameOverheadBytes is the space that a frame needs in addition to its body: the root pointer, the struct, the
	// address of a hello.
	frameOverheadBytes = 128

	wordBytes         = 8
	streamHeaderBytes = 8 // number of segments minus one, words in the first segment
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

// frame is a frame of a connection or a whole datagram. Its type determines which fields are used.
type frame struct {
	frameType frameType
	kind      Kind
	body      []byte

	address    netip.AddrPort // hello
	generation uint64         // hello
	callID     uint64         // request, response, failure
	remaining  time.Duration  // request: time until the deadline; 0: no deadline
	errorKind  fault.Kind     // failure
}
