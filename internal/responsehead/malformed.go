package responsehead

import "fmt"

// Reason is what is wrong with a malformed head.
type Reason string

// The reasons for which a head is malformed.
const (
	// StatusLine means that the first line is not the status line of an HTTP/1 response.
	StatusLine Reason = "status_line"
	// Status means that the status is not a number from 100 to 599.
	Status Reason = "status"
	// FieldName means that a line of the header has no name, or a name that is not a token.
	FieldName Reason = "field_name"
	// FieldValue means that a field value has a control byte.
	FieldValue Reason = "field_value"
	// FoldedLine means that a line of the header begins with a blank.
	FoldedLine Reason = "folded_line"
	// Framing means that a field says nothing valid about where the body ends, or contradicts another one.
	Framing Reason = "framing"
	// LineEnd means that the lines of the head do not all end in the same way.
	LineEnd Reason = "line_end"
	// LineLength means that a line is longer than any that is accepted.
	LineLength Reason = "line_length"
	// RepeatedField means that a field that identifies the response is there more than once. Checker does not check it, since it
	// does not know these fields.
	RepeatedField Reason = "repeated_field"
	// EncodedBody means that the body has an encoding that was not asked for. Checker does not check it.
	EncodedBody Reason = "encoded_body"
)

// maxQuotedBytes bounds the part of a line that an error quotes.
const maxQuotedBytes = 48

// MalformedError is the error of reading a malformed head.
type MalformedError struct {
	Reason Reason
	// Line is the beginning of the malformed line.
	Line string
}

// Error gives the reason and the line.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed response head: %s in line %q", e.Reason, e.Line)
}

func malformed(reason Reason, line []byte) *MalformedError {
	return &MalformedError{Reason: reason, Line: string(line[:min(len(line), maxQuotedBytes)])}
}
