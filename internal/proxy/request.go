package proxy

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"nickelline/internal/configuration"
	"nickelline/internal/fault"
	"nickelline/internal/forward"
)

const (
	methodHead = http.MethodHead
	bearer     = "Bearer "
	// maxPatience bounds how long a client may say that it waits.
	maxPatience = time.Hour
)

// request is a client's request as it was read, whole.
type request struct {
	method string
	// target is the path and query exactly as received, path what precedes the query.
	target, path string
	host         string
	header       http.Header
	// body is valid until the handler returns.
	body      []byte
	attemptID string
	// startedAt is when the first bytes of the request came.
	startedAt time.Time
	// closeConnection: the client wants the connection to be closed after the answer.
	closeConnection bool
}

// query returns what follows the question mark in the target.
func (r *request) query() string {
	_, query, _ := strings.Cut(r.target, "?")
	return query
}

// key returns the API key that the request carries, empty if none.
func (r *request) key() string {
	field := r.header.Get("Authorization")
	if len(field) < len(bearer) || !strings.EqualFold(field[:len(bearer)], bearer) {
		return ""
	}
	return strings.TrimSpace(field[len(bearer):])
}

// readRequest checks what hertz has read. A request whose end others could see differently is refused: hertz accepts some
// that RFC 9112 leaves in doubt.
func readRequest(h *protocol.Request, limits configuration.Limits, startedAt time.Time) (*request, error) {
	raw := h.Header.RawHeaders()
	if len(raw) > limits.MaxHeaderBytes {
		return nil, fault.New(fault.HeaderTooLarge, "the header has %d bytes", len(raw))
	}
	if !h.Header.IsHTTP11() {
		return nil, fault.New(fault.BadRequest, "not HTTP/1.1")
	}
	header, err := readFields(raw)
	if err != nil {
		return nil, err
	}
	if err := checkFraming(header); err != nil {
		return nil, err
	}
	body := h.Body()
	if len(body) > limits.MaxBodyBytes {
		return nil, fault.New(fault.BodyTooLarge, "the body has %d bytes", len(body))
	}
	r := &request{
		method:          string(h.Header.Method()),
		target:          string(h.Header.RequestURI()),
		host:            header.Get("Host"),
		header:          header,
		body:            body,
		attemptID:       header.Get(forward.HeaderAttemptID),
		startedAt:       startedAt,
		closeConnection: h.Header.ConnectionClose() || hasToken(header["Connection"], "close"),
	}
	r.path, _, _ = strings.Cut(r.target, "?")
	if !strings.HasPrefix(r.target, "/") {
		return nil, fault.New(fault.BadRequest, "the target is no path")
	}
	return r, nil
}

// readFields reads the lines of a header. Lines that are folded or that no field name begins are refused.
func readFields(raw []byte) (http.Header, error) {
	header := make(http.Header, bytes.Count(raw, []byte{'\n'}))
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			continue
		}
		name, value, found := bytes.Cut(line, []byte{':'})
		if !found || !isToken(name) || bytes.IndexByte(value, '\r') >= 0 {
			return nil, fault.New(fault.BadRequest, "a line of the header is no field")
		}
		key := textproto.CanonicalMIMEHeaderKey(string(name))
		header[key] = append(header[key], string(bytes.Trim(value, " \t")))
	}
	return header, nil
}

// checkFraming refuses a request whose end is in doubt.
func checkFraming(header http.Header) error {
	lengths, codings := header["Content-Length"], header["Transfer-Encoding"]
	switch {
	case len(lengths) > 1, len(lengths) == 1 && !isNumber(lengths[0]):
		return fault.New(fault.BadRequest, "want one Content-Length, a number")
	case len(codings) > 0 && len(lengths) > 0:
		return fault.New(fault.BadRequest, "Transfer-Encoding beside Content-Length")
	case len(codings) > 1, len(codings) == 1 && !strings.EqualFold(codings[0], "chunked"):
		return fault.New(fault.BadRequest, "want chunked alone as Transfer-Encoding")
	}
	return nil
}

func isNumber(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

func isToken(name []byte) bool {
	for _, c := range name {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return len(name) > 0
}

// hasToken reports whether a field with a list of tokens contains a token.
func hasToken(values []string, token string) bool {
	for _, value := range values {
		for element := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(element), token) {
				return true
			}
		}
	}
	return false
}
