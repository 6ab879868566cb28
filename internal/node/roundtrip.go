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
	// answerStart begins every answer.
	answerStart = "HTTP/1."
	// headerRoom is the size in bytes that a request's header seldom exceeds.
	headerRoom = 1 << 10
)

var (
	errTruncated     = errors.New("the answer's end can't be known")
	errTooLarge      = errors.New("the answer is too large")
	errOtherProtocol = errors.New("the backend speaks another protocol")
	errTrailingBytes = errors.New("the answer is longer than its length")
)

// roundTrip writes a request and reads its whole answer. keep reports whether the connection can take another request.
func (t *transport) roundTrip(conn *upstream.Conn, x *exchange) (res result, keep bool) {
	req := x.request()
	if err := writeRequest(conn, req, len(x.body)); err != nil {
		return result{code: decide.ConnectFailed, err: err}, false // its last byte was not written
	}
	resp, err := readAnswerHeader(conn, req)
	if err != nil {
		return result{code: decide.Reset, err: err}, false
	}
	defer resp.Body.Close()
	if length := resp.ContentLength; length > maxBody {
		defer t.largeBytes.Add(-length)
		if held := t.largeBytes.Add(length); length > maxAnswerBody || held > t.maxLargeBytes {
			return result{code: decide.Reset, err: errTooLarge}, false
		}
	}
	body, err := readAnswerBody(conn, resp)
	if err != nil {
		return result{code: decide.Reset, err: err}, false
	}
	more, open := conn.Unread()
	if more != "" && !strings.HasPrefix(answerStart, more) {
		// Another answer behind this one leaves this one good. Anything else may be its own end, and its length wrong.
		return result{code: decide.Reset, err: errTrailingBytes}, false
	}
	return answerResult(resp, body), open && more == "" && !resp.Close
}

// request returns the HTTP request of an exchange, with the time that is left for it.
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

// writeRequest writes a request at once, or fails before its last byte is written.
func writeRequest(conn *upstream.Conn, req *http.Request, bodyLength int) error {
	var text bytes.Buffer
	text.Grow(headerRoom + bodyLength)
	if err := req.Write(&text); err != nil {
		return err
	}
	_, err := conn.Write(text.Bytes())
	return err
}

// readAnswerHeader reads the header of the final answer, and what interim answers come before it.
func readAnswerHeader(conn *upstream.Conn, req *http.Request) (*http.Response, error) {
	conn.SetReadLimit(maxAnswerHeader) // http.ReadResponse itself takes a header of any size
	resp, err := http.ReadResponse(conn.Reader, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(conn.Reader, req)
	}
	if err == nil && resp.StatusCode < 200 {
		err = errOtherProtocol
	}
	return resp, err
}

// readAnswerBody reads the body of an answer, whole.
func readAnswerBody(conn *upstream.Conn, resp *http.Response) ([]byte, error) {
	conn.SetReadLimit(conn.ReadLimit() + maxAnswerBody + maxAnswerHeader) // and the framing of chunks
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBody+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxAnswerBody:
		return nil, errTooLarge
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		// A body that ends with its connection looks whole when the backend has died within it.
		return nil, errTruncated
	}
	return body, nil
}

// answerResult returns the result of an exchange by its whole answer.
func answerResult(resp *http.Response, body []byte) result {
	res := result{
		code:   decide.BackendError,
		report: parseReport(resp.Header.Get("X-Backend-Load")),
		header: resp.Header,
		body:   body,
	}
	unprocessed := resp.Header.Get("X-Unprocessed") == "1"
	switch status := resp.StatusCode; {
	case status == http.StatusOK:
		res.code = decide.OK
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && unprocessed:
		res.code = decide.Full
	case status == http.StatusTooManyRequests: // it promises that nothing ran, which only X-Unprocessed does
	case status >= 400 && status < 500:
		res.code, res.clientStatus = decide.Cancelled, status
	}
	return res
}
