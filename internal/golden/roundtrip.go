package golden

import (
	"reflect"
	"testing"
)

// RoundTrip fails the test unless encoding the message gives the bytes that the named file below testdata holds as a hex
// dump, decoding these bytes gives the message, and encoding the decoded message gives the same bytes again.
func RoundTrip[M any](
	t *testing.T, name string, message M, encode func(M) ([]byte, error), decode func([]byte) (M, error),
) {
	t.Helper()
	encoded, err := encode(message)
	if err != nil {
		t.Fatalf("encode %s: %v", name, err)
	}
	committed := Bytes(t, name, encoded)
	decoded, err := decode(committed)
	if err != nil {
		t.Fatalf("decode %s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, message) {
		t.Errorf("decode %s: got %+v, want %+v", name, decoded, message)
	}
	encoded, err = encode(decoded)
	if err != nil {
		t.Fatalf("encode the decoded %s: %v", name, err)
	}
	Bytes(t, name, encoded)
}
