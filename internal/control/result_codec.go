package control

import (
	"capnproto.org/go/capnp/v3"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/control/controlwire"
)

// EncodeResult returns a result as a Cap'n Proto message.
func EncodeResult(r Result) []byte {
	return mustMarshal(controlwire.NewRootResult, func(root controlwire.Result) error {
		root.SetOutcome(uint8(r.Outcome))
		root.SetVersion(r.Version)
		return root.SetText(r.Text)
	})
}

// DecodeResult reads a result that EncodeResult wrote.
func DecodeResult(encoded []byte) (Result, error) {
	root, err := capnpcodec.Unmarshal(encoded, controlwire.ReadRootResult)
	if err != nil {
		return Result{}, err
	}
	text, err := root.Text()
	return Result{Outcome: Outcome(root.Outcome()), Version: root.Version(), Text: text}, err
}

// mustMarshal is capnpcodec.Marshal for messages whose content cannot make it fail.
func mustMarshal[T any](newRoot func(*capnp.Segment) (T, error), fill func(T) error) []byte {
	encoded, err := capnpcodec.Marshal(0, newRoot, fill)
	if err != nil {
		panic("control: encode message: " + err.Error())
	}
	return encoded
}
