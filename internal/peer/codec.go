package peer

import (
	"encoding/binary"
	"io"
	"time"

	"capnproto.org/go/capnp/v3"
	"github.com/ansel1/merry/v2"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/fault"
	"nickelline/internal/peer/peerwire"
)

// encode returns the frame as a Cap'n Proto stream of one segment. It encodes in place; Marshal copies the message only
// if it has outgrown the buffer.
func (f *frame) encode() ([]byte, error) {
	buffer := make([]byte, streamHeaderBytes, streamHeaderBytes+frameOverheadBytes+len(f.body)+wordBytes)
	message, segment, err := capnp.NewMessage(capnp.SingleSegment(buffer[streamHeaderBytes:]))
	if err != nil {
		return nil, err
	}
	root, err := peerwire.NewRootFrame(segment)
	if err != nil {
		return nil, err
	}
	if err := f.fillRoot(root); err != nil {
		return nil, err
	}
	data := segment.Data()
	if len(data) > cap(buffer)-streamHeaderBytes || &data[0] != &buffer[:streamHeaderBytes+1][streamHeaderBytes] {
		return message.Marshal()
	}
	stream := buffer[:streamHeaderBytes+len(data)]
	binary.LittleEndian.PutUint32(stream[4:], uint32(len(data)/wordBytes))
	return stream, nil
}

// fillRoot sets the fields of the encoded frame.
func (f *frame) fillRoot(root peerwire.Frame) error {
	root.SetKind(uint16(f.kind))
	switch f.frameType {
	case helloFrame:
		root.SetHello()
		root.Hello().SetGeneration(f.generation)
		if err := root.Hello().SetAddress(capnpcodec.EncodeAddress(f.address)); err != nil {
			return err
		}
	case requestFrame:
		root.SetRequest()
		root.Request().SetCall(f.callID)
		root.Request().SetRemainingMicros(uint64(f.remaining.Microseconds()))
	case responseFrame:
		root.SetAnswer()
		root.Answer().SetCall(f.callID)
	case failureFrame:
		root.SetFailure()
		root.Failure().SetCall(f.callID)
		root.Failure().SetErrorKind(uint8(f.errorKind))
	case oneWayFrame:
		root.SetOneWay()
	case datagramFrame:
		root.SetDatagram()
	case retireFrame:
		root.SetRetire()
	}
	if len(f.body) == 0 {
		return nil
	}
	return root.SetBody(f.body)
}

// decodeFrame decodes a frame. The body of the frame shares the memory of data.
func decodeFrame(data []byte) (*frame, error) {
	root, err := capnpcodec.Unmarshal(data, peerwire.ReadRootFrame)
	if err != nil {
		return nil, err
	}
	f := &frame{kind: Kind(root.Kind())}
	if f.body, err = root.Body(); err != nil {
		return nil, err
	}
	switch root.Which() {
	case peerwire.Frame_Which_hello:
		f.frameType = helloFrame
		f.generation = root.Hello().Generation()
		return f, f.decodeHelloAddress(root)
	case peerwire.Frame_Which_request:
		f.frameType = requestFrame
		f.callID = root.Request().Call()
		f.remaining = time.Duration(root.Request().RemainingMicros()) * time.Microsecond
	case peerwire.Frame_Which_answer:
		f.frameType = responseFrame
		f.callID = root.Answer().Call()
	case peerwire.Frame_Which_failure:
		f.frameType = failureFrame
		f.callID = root.Failure().Call()
		f.errorKind = fault.Kind(root.Failure().ErrorKind())
	case peerwire.Frame_Which_oneWay:
		f.frameType = oneWayFrame
	case peerwire.Frame_Which_datagram:
		f.frameType = datagramFrame
	case peerwire.Frame_Which_retire:
		f.frameType = retireFrame
	default:
		return nil, merry.Errorf("frame of unknown type %d", root.Which())
	}
	return f, nil
}

// decodeHelloAddress decodes the address of a hello frame.
func (f *frame) decodeHelloAddress(root peerwire.Frame) error {
	data, err := root.Hello().Address()
	if err != nil {
		return err
	}
	f.address, err = capnpcodec.DecodeAddress(data)
	return err
}

// readFrame reads the next frame of a connection into newly allocated memory.
func readFrame(r io.Reader) (*frame, error) {
	var header [streamHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	if segments := binary.LittleEndian.Uint32(header[:]); segments != 0 {
		return nil, merry.Errorf("frame of %d segments", uint64(segments)+1)
	}
	size := uint64(binary.LittleEndian.Uint32(header[4:])) * wordBytes
	if size > maxFrameBytes {
		return nil, merry.Errorf("frame of %d bytes", size)
	}
	data := make([]byte, streamHeaderBytes+size)
	copy(data, header[:])
	if _, err := io.ReadFull(r, data[streamHeaderBytes:]); err != nil {
		return nil, err
	}
	return decodeFrame(data)
}
