package node

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nickelline/decide"
	"nickelline/internal/upstream"
)

const (
	// responsePrefix is the start of every response.
	responsePrefix = "HTTP/1."
	// typicalHeaderBytes is a size that the header of a request rarely exceeds.
	typicalHeaderBytes = 1 << 10
)

var (
	errTruncated     = errors.New("response body ends without a length or a final chunk")
	errTooLarge      = errors.New("response too large")
	errTrailingBytes = errors.New("unexpected data after the response")
)

// roundTrip writes a request and reads its whole response. keep reports whether the connection can be reused.
func (t *transport) roundTrip(conn *upstream.Conn, x *exchange) (res result, keep bool) {
	req := x.request()
	if err := writeRequest(conn, req, len(x.body)); err != nil {
		return result{code: decide.ConnectFailed, err: err}, false // the last byte was not written, so the request cannot run
	}
	resp, err := conn.ReadHead(req, maxResponseHeader)
	if err != nil {
		return result{code: decide.Reset, err: err}, false
	}
	defer resp.Body.Close()
	if length := resp.ContentLength; length > maxBody {
		defer t.largeBodyBytes.Add(-length)
		if held := t.largeBodyBytes.Add(length); length > maxResponseBody || held > t.maxLargeBodyBytes {
			return result{code: decide.Reset, err: errTooLarge}, false
		}
	}
	body, err := readResponseBody(conn, resp)
	if err != nil {
		return result{code: decide.Reset, err: err}, false
	}
	more, open := conn.Unread()
	if more != "" && !strings.HasPrefix(responsePrefix, more) {
		// A second response may follow this one, which is valid all the same. Any other data may belong to the body of
		// this response, because its stated length may be wrong.
		return result{code: decide.Reset, err: errTrailingBytes}, false
	}
	return classifyResponse(resp, body), open && more == "" && !resp.Close
}

// request returns the HTTP request for an exchange. X-Time-Left is the time until its deadline.
func (x *exchange) request() *http.Request {
	left := max(0, time.Until(x.deadline))
	header := x.header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header["X-Time-Left"] = []string{strconv.FormatFloat(left.Seconds(), 'f', 3, 64)}
	req := &http.Request{Method: x.method, URL: x.url, Host: x.url.Host, Header: header, ProtoMajor: 1, ProtoMinor: 1}
	switch {
	case len(x.body) > 0:
		req.ContentLength, req.Body = int64(len(x.body)), io.NopCloser(bytes.NewReader(x.body))
	case x.method == http.MethodPost:
		req.Body = http.NoBody
	}
	return req
}

// writeRequest writes a request in a single write. If it returns an error, the last byte was not written.
func writeRequest(conn *upstream.Conn, req *http.Request, bodyLength int) error {
	var text bytes.Buffer
	text.Grow(typicalHeaderBytes + bodyLength)
	if err := req.Write(&text); err != nil {
		return err
	}
	_, err := conn.Write(text.Bytes())
	return err
}

// readResponseBody reads the whole body of a response.
func readResponseBody(conn *upstream.Conn, resp *http.Response) ([]byte, error) {
	conn.SetReadLimit(conn.ReadLimit() + maxResponseBody + maxResponseHeader) // with the framing of chunks
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxResponseBody:
		return nil, errTooLarge
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		// A body that ends when its connection closes looks complete even if the backend crashed while sending it.
		return nil, errTruncated
	}
	return body, nil
}

// classifyResponse returns the result of an exchange with a complete response.
func classifyResponse(resp *http.Response, body []byte) result {
	res := result{
		code:   decide.BackendError,
		report: parseLoadReport(resp.Header.Get("X-Backend-Load")),
		header: resp.Header,
		body:   body,
	}
	unprocessed := resp.Header.Get("X-Unprocessed") == "1"
	switch status := resp.StatusCode; {
	case status == http.StatusOK:
		res.code = decide.OK
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && unprocessed:
		res.code = decide.Full
	case status == http.StatusTooManyRequests: // 429 would promise that nothing ran; only X-Unprocessed does
	case status >= 400 && status < 500:
		res.code, res.clientStatus = decide.Cancelled, status
	}
	return res
}
