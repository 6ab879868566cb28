package peer

import (
	"bytes"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"nickelline/internal/fault"
)

func TestMalformedFramesEndTheConnection(t *testing.T) {
	a := listen(t)
	a.Start()
	request := &frame{frameType: requestFrame, kind: testKind, callID: 1}
	withoutHello, err := request.encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{
		"no hello":         withoutHello,
		"too long":         {0, 0, 0, 0, 255, 255, 255, 255},
		"several segments": {3, 0, 0, 0, 1, 0, 0, 0},
		"no root":          {0, 0, 0, 0, 1, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8},
	} {
		socket, err := net.Dial("tcp4", a.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		if err := socket.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := socket.Write(data); err != nil {
			t.Fatal(err)
		}
		_, err = socket.Read(make([]byte, 1))
		if err == nil || isTimeout(err) {
			t.Errorf("%s: connection: got it open (error %v), want it closed", name, err)
		}
		_ = socket.Close()
	}
}

func TestFrameRoundTrip(t *testing.T) {
	for _, f := range []*frame{
		{frameType: helloFrame, address: netip.MustParseAddrPort("10.1.2.3:7660"), generation: 9},
		{frameType: requestFrame, kind: 3, callID: 7, remaining: 1500 * time.Microsecond, body: []byte("abc")},
		{frameType: responseFrame, kind: 3, callID: 7, body: make([]byte, 100_000)},
		{frameType: failureFrame, callID: 7, errorKind: fault.Unclear, body: []byte("text")},
		{frameType: oneWayFrame, kind: 3},
		{frameType: datagramFrame, kind: 3, body: []byte("abc")},
		{frameType: retireFrame},
	} {
		data, err := f.encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := readFrame(bytes.NewReader(data))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.body, f.body) {
			t.Errorf("body: want %d bytes, got %d", len(f.body), len(got.body))
		}
		got.body, f.body = nil, nil
		if !reflect.DeepEqual(got, f) {
			t.Errorf("got %+v, want %+v", got, f)
		}
	}
}
