package forward

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"nickelline/internal/httpsyntax"
)

const (
	// maxPooledBuffer is the size of the largest buffer that is kept for another request, in bytes.
	maxPooledBuffer   = 64 << 10
	requestLineSuffix = " HTTP/1.1\r\n"
	lineEnd           = "\r\n"
)

var (
	errInvalidTarget = errors.New("invalid request target")
	errInvalidMethod = errors.New("invalid request method")
	errInvalidField  = errors.New("invalid header field")
)

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func getBuffer() *bytes.Buffer { return buffers.Get().(*bytes.Buffer) }

func putBuffer(b *bytes.Buffer) {
	if b.Cap() > maxPooledBuffer {
		return
	}
	b.Reset()
	buffers.Put(b)
}

// omittedFields holds the header fields of a client's request that are not forwarded: they concern one connection, carry the
// client's API key, or are set by this package. Keys are in canonical form.
var omittedFields = map[string]bool{
	"Authorization":         true,
	"Connection":            true,
	"Content-Length":        true,
	"Expect":                true,
	"Host":                  true,
	"Keep-Alive":            true,
	"Proxy-Connection":      true,
	"Te":                    true,
	"Trailer":               true,
	"Transfer-Encoding":     true,
	"Upgrade":               true,
	HeaderAttemptID:         true,
	HeaderDeadlineRemaining: true,
	HeaderExpectedInstance:  true,
	HeaderTenant:            true,
}

// appendRequest appends a request in HTTP/1.1 format.
func appendRequest(b *bytes.Buffer, backend string, r *Request, now time.Time) error {
	if !httpsyntax.IsToken(r.Method) {
		return errInvalidMethod
	}
	if !validTarget(r.Target) {
		return errInvalidTarget
	}
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(requestLineSuffix)
	if err := appendOwnFields(b, backend, r, now); err != nil {
		return err
	}
	if err := appendClientFields(b, r); err != nil {
		return err
	}
	b.WriteString(lineEnd)
	b.Grow(len(r.Body))
	b.Write(r.Body)
	return nil
}

// appendOwnFields appends the header fields that this package sets. Those with an empty value are left out.
func appendOwnFields(b *bytes.Buffer, backend string, r *Request, now time.Time) error {
	remaining := max(r.Deadline.Sub(now)-deadlineReserve, time.Millisecond)
	fields := [...]struct{ name, value string }{
		{"Host", r.Host},
		{HeaderAttemptID, r.AttemptID},
		{HeaderExpectedInstance, backend},
		{HeaderTenant, r.Tenant},
		{HeaderLastEventID, r.LastEventID},
		{HeaderDeadlineRemaining, strconv.FormatInt(remaining.Milliseconds(), 10)},
	}
	for _, f := range fields {
		if f.value == "" {
			continue
		}
		if err := appendField(b, f.name, f.value); err != nil {
			return err
		}
	}
	if len(r.Body) > 0 || definesBody(r.Method) {
		return appendField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return nil
}

// appendClientFields appends the client's header fields, except those that are not forwarded.
func appendClientFields(b *bytes.Buffer, r *Request) error {
	hopByHop := hopByHopFields(r.Header)
	for name, values := range r.Header {
		canonical := http.CanonicalHeaderKey(name)
		if omittedFields[canonical] || hopByHop[canonical] || (r.LastEventID != "" && canonical == HeaderLastEventID) {
			continue
		}
		for _, value := range values {
			if err := appendField(b, name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func appendField(b *bytes.Buffer, name, value string) error {
	if !httpsyntax.IsToken(name) || !httpsyntax.IsFieldValue(value) {
		return errInvalidField
	}
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString(lineEnd)
	return nil
}

// definesBody reports whether a method defines a request body, so that Content-Length is sent even if the body is empty.
func definesBody(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// hopByHopFields returns the canonical names of the fields that the Connection field lists as concerning only the
// connection. The fields that this package sets itself, such as the attempt id and the tenant, are not subject to it.
func hopByHopFields(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	names := map[string]bool{}
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// endToEndFields returns the header fields of a backend's response that are for the client. It changes the header in place.
func endToEndFields(header http.Header) http.Header {
	for name := range hopByHopFields(header) {
		if name != HeaderResponseSeal && name != HeaderAttemptID {
			header.Del(name)
		}
	}
	for _, name := range [...]string{
		"Connection", "Content-Length", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		HeaderServerLoad,
	} {
		delete(header, name)
	}
	return header
}

// validTarget reports whether text is valid as the target in a request line.
func validTarget(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return strings.HasPrefix(text, "/")
}
