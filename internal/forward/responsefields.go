package forward

import (
	"net/http"

	"nickelline/internal/responsehead"
)

// singleFields are the fields of which a response has at most one line: of two it would be unknown which one is the backend's.
var singleFields = [...]string{HeaderAttemptID, HeaderResponseSeal}

// checkSingleFields returns a *responsehead.MalformedError if a response repeats a field that it may have only once.
func checkSingleFields(header http.Header) error {
	for _, name := range singleFields {
		if len(header[name]) > 1 {
			return &responsehead.MalformedError{Reason: responsehead.RepeatedField, Line: name}
		}
	}
	return nil
}

// checkEncoding returns a *responsehead.MalformedError if the body of a response is encoded. Clients ask for bodies without encoding,
// so an encoded one is not the backend's.
func checkEncoding(header http.Header) error {
	const name = "Content-Encoding"
	if len(header[name]) > 0 {
		return &responsehead.MalformedError{Reason: responsehead.EncodedBody, Line: name}
	}
	return nil
}
