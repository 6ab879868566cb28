package batch

// EncodeOutcome writes an outcome.
func EncodeOutcome(o Outcome) []byte { return []byte{byte(o)} }

// DecodeOutcome reads an outcome.
func DecodeOutcome(encoded []byte) Outcome {
	if len(encoded) != 1 {
		return Malformed
	}
	return Outcome(encoded[0])
}
