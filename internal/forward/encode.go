package forward

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxPooledBuffer is the size of the largest buffer that is kept for another request, in bytes.
	maxPooledBuffer = 64 << 10
	protocolEnd     = " HTTP/1.1\r\n"
	lineEnd         = "\r\n"
)

var (
	errTarget = errors.New("the request target is not valid")
	errMethod = errors.New("the method is not valid")
	errField  = errors.New("a header field is not valid")
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

// omittedFields of a client's request are not sent: they concern one connection, are the client's secret, or are set by the
// system. Keys are canonical.
var omittedFields = map[string]bool{
	"Authorization":     true,
	"Connection":        true,
	"Content-Length":    true,
	"Expect":            true,
	"Host":              true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	HeaderAttemptID:     true,
	HeaderDeadline:      true,
	HeaderExpected:      true,
	HeaderTenant:        true,
}

// appendRequest writes a request in the form of HTTP/1.1.
func appendRequest(b *bytes.Buffer, backend string, r *Request, now time.Time) error {
	if !validToken(r.Method) {
		return errMethod
	}
	if !validTarget(r.Target) {
		return errTarget
	}
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(protocolEnd)
	if err := appendOwnFields(b, backend, r, now); err != nil {
		return err
	}
	if err := appendClientFields(b, r); err != nil {
		return err
	}
	b.WriteString(lineEnd)
	b.Write(r.Body)
	return nil
}

// appendOwnFields writes the fields that the system sets.
func appendOwnFields(b *bytes.Buffer, backend string, r *Request, now time.Time) error {
	left := max(r.Deadline.Sub(now)-deadlineReserve, time.Millisecond)
	fields := [...]struct{ name, value string }{
		{"Host", r.Host},
		{HeaderAttemptID, r.AttemptID},
		{HeaderExpected, backend},
		{HeaderTenant, r.Tenant},
		{HeaderLastEventID, r.LastEventID},
		{HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10)},
	}
	for _, f := range fields {
		if f.value == "" {
			continue
		}
		if err := appendField(b, f.name, f.value); err != nil {
			return err
		}
	}
	if len(r.Body) > 0 || hasBody(r.Method) {
		return appendField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return nil
}

// appendClientFields writes the client's fields, except those that are omitted.
func appendClientFields(b *bytes.Buffer, r *Request) error {
	named := hopByHopFields(r.Header)
	for name, values := range r.Header {
		canonical := http.CanonicalHeaderKey(name)
		if omittedFields[canonical] || named[canonical] || (r.LastEventID != "" && canonical == HeaderLastEventID) {
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
	if !validToken(name) || !validValue(value) {
		return errField
	}
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString(lineEnd)
	return nil
}

// hasBody reports whether a request of a method states the length of its body even if that is empty.
func hasBody(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// hopByHopFields returns the names of the fields that Connection says concern the connection only. The id of the attempt and
// the tenant are set by the system and not omitted.
func hopByHopFields(header http.Header) map[string]bool {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// endToEnd returns the fields of a backend's answer that are for the client. It changes the header in place.
func endToEnd(header http.Header) http.Header {
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

const tokenSymbols = "!#$%&'*+-.^_`|~"

// validToken reports whether a text may be a method or the name of a field.
func validToken(text string) bool {
	for _, c := range []byte(text) {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && strings.IndexByte(tokenSymbols, c) < 0 {
			return false
		}
	}
	return text != ""
}

// validTarget reports whether a text may stand in a request line.
func validTarget(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return strings.HasPrefix(text, "/")
}

// validValue reports whether a text may be the value of a field.
func validValue(text string) bool {
	for _, c := range []byte(text) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
