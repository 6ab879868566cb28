package forward

import (
	"net/http"
	"testing"
)

// TestAmbiguousFieldsAreNoResponse guards against a response being taken for the backend's own that leaves open whose it is,
// by two ids or two seals, or whose body is not the backend's, since it is encoded.
func TestAmbiguousFieldsAreNoResponse(t *testing.T) {
	const otherID = HeaderAttemptID + ": other\r\n"
	const seal = HeaderResponseSeal + ": s\r\n"
	for name, text := range map[string]string{
		"another id after it":     completeResponse("200 OK", otherID, malformedBody),
		"the same id twice":       completeResponse("200 OK", HeaderAttemptID+": "+testID+"\r\n", malformedBody),
		"an empty id after it":    completeResponse("200 OK", HeaderAttemptID+":\r\n", malformedBody),
		"not executed, two ids":   completeResponse("503 x", HeaderNotExecuted+": 1\r\n"+otherID, ""),
		"another backend, two":    completeResponse("421 x", otherID, ""),
		"not executed, empty ids": "HTTP/1.1 503 x\r\n" + HeaderNotExecuted + ": 1\r\n" + HeaderAttemptID + ":\r\n" + otherID + "Content-Length: 0\r\n\r\n",
		"two seals":               completeResponse("200 OK", seal+HeaderResponseSeal+": t\r\n", malformedBody),
		"two seals of a failure":  completeResponse("500 x", seal+HeaderResponseSeal+": t\r\n", malformedBody),
		"encoded body":            completeResponse("200 OK", seal+"Content-Encoding: gzip\r\n", malformedBody),
		"encoded stream":          rawResponse("200 OK", seal+"Content-Encoding: br\r\n"+streamFields+chunk("id: 1\n\n")+lastChunk),
		"encoded failure":         completeResponse("404 x", seal+"content-encoding: identity\r\n", malformedBody),
	} {
		t.Run(name, func(t *testing.T) { expectMalformed(t, http.MethodPost, text) })
	}
}
