package batch

// EncodeOutcome returns an encoded outcome.
func EncodeOutcome(o Outcome) []byte { return []byte{byte(o)} }

// DecodeOutcome decodes an outcome. It returns Malformed unless the encoding is one byte long.
func DecodeOutcome(encoded []byte) Outcome {
	if len(encoded) != 1 {
		return Malformed
	}
	return Outcome(encoded[0])
}
