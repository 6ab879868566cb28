package node

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"nickelline/decide"
)

// checkHeader returns the time for which the client of a request still waits or, if the header is invalid, the status
// and the reason for the response.
func checkHeader(r *http.Request, class decide.Class) (timeLeft time.Duration, status int, reason string) {
	method := http.MethodPost
	if class.Effect == decide.Safe {
		method = http.MethodGet
	}
	keys := r.Header["Idempotency-Key"]
	switch {
	case !r.ProtoAtLeast(1, 1): // net/http ignores Transfer-Encoding in HTTP/1.0
		return 0, http.StatusHTTPVersionNotSupported, "HTTP/1.1 only"
	case len(r.TransferEncoding) > 0: // net/http has dropped any Content-Length beside it
		return 0, http.StatusLengthRequired, "Content-Length only"
	case r.Method != http.MethodGet && r.Method != http.MethodPost, r.Method != method:
		return 0, http.StatusMethodNotAllowed, "the class wants " + method
	case method == http.MethodGet && r.ContentLength > 0:
		return 0, http.StatusBadRequest, "GET takes no body"
	case r.ContentLength > maxBody:
		return 0, http.StatusRequestEntityTooLarge, "the body is too large"
	case !hasSingleValue(r.Header["X-Correlation-Id"]):
		return 0, http.StatusBadRequest, "want one X-Correlation-Id"
	case class.Effect == decide.Keyed && !hasSingleValue(keys), class.Effect != decide.Keyed && len(keys) > 0:
		return 0, http.StatusBadRequest, "want one Idempotency-Key on keyed requests, none on others"
	}
	left := r.Header["X-Time-Left"]
	if !hasSingleValue(left) || strings.Trim(left[0], "0123456789.") != "" {
		return 0, http.StatusBadRequest, "X-Time-Left is not a number of seconds"
	}
	seconds, err := strconv.ParseFloat(left[0], 64)
	if err != nil {
		return 0, http.StatusBadRequest, "X-Time-Left is not a number of seconds"
	}
	return time.Duration(min(seconds, maxTimeLeft.Seconds()) * float64(time.Second)), 0, ""
}

// hasSingleValue reports whether a header field has exactly one value and it is not empty.
func hasSingleValue(values []string) bool { return len(values) == 1 && values[0] != "" }

// readBody reads the whole body within bodyTimeout, or returns the status and the reason for the response.
func readBody(w http.ResponseWriter, r *http.Request) (body []byte, status int, reason string) {
	if r.ContentLength == 0 {
		return nil, 0, ""
	}
	control := http.NewResponseController(w)
	by := time.Now().Add(bodyTimeout)
	control.SetReadDeadline(by)
	body, err := io.ReadAll(r.Body) // allocates by the data received, not by the claimed Content-Length
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout, "the body does not come"
	case err != nil:
		return nil, http.StatusBadRequest, "the body is malformed"
	}
	control.SetReadDeadline(time.Time{}) // otherwise the deadline would end net/http's detection of a disconnect
	if !time.Now().Before(by) {
		// The deadline may have ended that detection already, although the client is still connected: net/http starts
		// it with the last byte of the body.
		return nil, http.StatusRequestTimeout, "the body does not come"
	}
	return body, 0, ""
}

// newRequest returns the request for a valid header and its body.
func newRequest(r *http.Request, class string, timeLeft time.Duration, body []byte) *request {
	e := decide.RequestArrived{
		ID:     decide.RequestID(r.Header.Get("X-Correlation-Id")),
		Class:  class,
		Tenant: r.Header.Get("X-Account"),
		Key:    r.URL.Query().Get("obj"),
		Retry:  r.Header.Get("X-Repeat") == "1",
		Write:  hasFact(r.Header.Get("X-Facts"), "write"),
	}
	if us, err := strconv.ParseFloat(r.Header.Get("X-Weight-Hint"), 64); err == nil && us >= 0 && us < maxTimeLeft.Seconds()*1e6 {
		e.WorkHint, e.HasHint = time.Duration(us*float64(time.Microsecond)), true
	}
	return &request{arrived: e, deadline: time.Now().Add(timeLeft - responseMargin), method: r.Method, body: body,
		url:    &url.URL{Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		header: endToEnd(r.Header), client: r.Context(), response: make(chan response, 1)}
}

// hasFact reports whether the named fact is set in the value of an X-Facts header.
func hasFact(text, name string) bool {
	for field := range strings.SplitSeq(text, ",") {
		if n, v, _ := strings.Cut(strings.TrimSpace(field), "="); n == name {
			return v != "" && v != "0" && v != "false"
		}
	}
	return false
}

// endToEnd returns a copy of a header without the hop-by-hop fields and those that the node sets itself. The fields
// that identify a request stay even if Connection names them.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			switch name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name {
			case "X-Correlation-Id", "Idempotency-Key":
			default:
				out.Del(name)
			}
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Expect", "Content-Length", "X-Time-Left", "X-Backend-Load", "X-Unprocessed"} {
		out.Del(name)
	}
	return out
}
