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
	"nickelline/internal/httpsyntax"
)

const (
	methodHead = http.MethodHead
	bearer     = "Bearer "
	// maxClientTimeout bounds the timeouts that clients state in their requests.
	maxClientTimeout = time.Hour
)

// request is a client's request, which has been read completely.
type request struct {
	method string
	// target is the path and query exactly as received; path is the part before the query.
	target, path string
	host         string
	header       http.Header
	// body is valid until the handler returns.
	body      []byte
	attemptID string
	// startedAt is when the first bytes of the request were read.
	startedAt time.Time
	// closeConnection reports whether the client asks to close the connection after the response.
	closeConnection bool
}

// query returns the query string of the target, without the question mark.
func (r *request) query() string {
	_, query, _ := strings.Cut(r.target, "?")
	return query
}

// key returns the API key that the request carries, or an empty string if it carries none.
func (r *request) key() string {
	field := r.header.Get("Authorization")
	if len(field) < len(bearer) || !strings.EqualFold(field[:len(bearer)], bearer) {
		return ""
	}
	return strings.TrimSpace(field[len(bearer):])
}

// readRequest validates a request that hertz has read, and converts it. It rejects a request whose end another HTTP
// implementation could see elsewhere (request smuggling): hertz accepts some whose end RFC 9112 leaves in doubt.
func readRequest(h *protocol.Request, limits configuration.Limits, startedAt time.Time) (*request, error) {
	raw := h.Header.RawHeaders()
	if len(raw) > limits.MaxHeaderBytes {
		return nil, fault.New(fault.HeaderTooLarge, "header of %d bytes exceeds the limit", len(raw))
	}
	if !h.Header.IsHTTP11() {
		return nil, fault.New(fault.BadRequest, "protocol version is not HTTP/1.1")
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
		return nil, fault.New(fault.BodyTooLarge, "body of %d bytes exceeds the limit", len(body))
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
		return nil, fault.New(fault.BadRequest, "request target does not begin with /")
	}
	return r, nil
}

// readFields parses the lines of a header. It rejects folded lines and lines that do not begin with a field name.
func readFields(raw []byte) (http.Header, error) {
	header := make(http.Header, bytes.Count(raw, []byte{'\n'}))
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			continue
		}
		name, value, found := bytes.Cut(line, []byte{':'})
		if !found || !httpsyntax.IsToken(name) || bytes.IndexByte(value, '\r') >= 0 {
			return nil, fault.New(fault.BadRequest, "header contains a malformed line")
		}
		key := textproto.CanonicalMIMEHeaderKey(string(name))
		header[key] = append(header[key], string(bytes.Trim(value, " \t")))
	}
	return header, nil
}

// checkFraming rejects a request whose header leaves the length of the body ambiguous.
func checkFraming(header http.Header) error {
	lengths, codings := header["Content-Length"], header["Transfer-Encoding"]
	switch {
	case len(lengths) > 1, len(lengths) == 1 && !isNumber(lengths[0]):
		return fault.New(fault.BadRequest, "Content-Length is not a single decimal number")
	case len(codings) > 0 && len(lengths) > 0:
		return fault.New(fault.BadRequest, "both Transfer-Encoding and Content-Length are set")
	case len(codings) > 1, len(codings) == 1 && !strings.EqualFold(codings[0], "chunked"):
		return fault.New(fault.BadRequest, "Transfer-Encoding is not chunked alone")
	}
	return nil
}

func isNumber(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

// hasToken reports whether the values of a field, each a comma-separated list, contain a token.
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
