package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"nickelline/internal/configuration"
	"nickelline/internal/forward"
)

func TestRequestsOverOneConnection(t *testing.T) {
	b := startBackend(t, replyAndKeepOpen(responseText(200, sealField, "answer")))
	s := startTestProxy(t, nil, b)
	c := s.connect(t)
	for range 3 {
		c.send(t, requestText("/many/x?y=%20z", "X-Kept: 1\r\n", "body"))
		a := c.read(t)
		if a.StatusCode != 200 || a.body != "answer" || a.Header.Get(forward.HeaderResponseSeal) != testSeal ||
			a.Header.Get(forward.HeaderAttemptID) != testID {
			t.Fatalf("response: got %d %q %v, want 200 \"answer\" with seal %q and id %q", a.StatusCode, a.body, a.Header, testSeal, testID)
		}
		r := <-b.requests
		if r.Method != "POST" || r.RequestURI != "/many/x?y=%20z" || r.Host != testHost || r.body != "body" ||
			r.Header.Get("X-Kept") != "1" || r.Header.Get(forward.HeaderTenant) != "t1" || r.Header.Get("Authorization") != "" {
			t.Fatalf("the backend received %s %s %v %q", r.Method, r.RequestURI, r.Header, r.body)
		}
	}
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	b := startBackend(t, func(b *backend, r received, conn net.Conn) bool { return okReply(r.body)(b, r, conn) })
	s := startTestProxy(t, nil, b)
	c := s.connect(t)
	c.send(t, requestText("/many/x", "", "one")+requestText("/many/x", "", "two")+requestText("/many/x", "", "three"))
	for _, want := range []string{"one", "two", "three"} {
		if a := c.read(t); a.StatusCode != 200 || a.body != want {
			t.Errorf("response: got %d %q, want 200 %q", a.StatusCode, a.body, want)
		}
	}
}

func TestBodyInChunks(t *testing.T) {
	b := startBackend(t, okReply("answer"))
	s := startTestProxy(t, nil, b)
	text := strings.Replace(requestText("/many/x", "Transfer-Encoding: chunked\r\n", ""), "Content-Length: 0\r\n", "", 1)
	a := s.roundTrip(t, text+chunk("bo")+chunk("dy")+lastChunk)
	if r := <-b.requests; a.StatusCode != 200 || r.body != "body" || r.ContentLength != 4 || len(r.TransferEncoding) > 0 {
		t.Errorf("got status %d, and the backend received %q %v; want 200 and \"body\" with Content-Length 4", a.StatusCode, r.body, r.Header)
	}
}

func TestClientThatLeavesEndsTheAttempt(t *testing.T) {
	for name, leave := range map[string]func(*client){
		"closes":                  func(c *client) { c.Close() },
		"resets":                  func(c *client) { c.SetLinger(0); c.Close() },
		"closes its sending side": func(c *client) { c.CloseWrite() },
	} {
		for _, path := range []string{"/once/x", "/many/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				b := startBackend(t, replyAndKeepOpen(""))
				s := startTestProxy(t, nil, b)
				c := s.connect(t)
				c.send(t, requestText(path, "", ""))
				wait(t, b.requests, "request")
				leave(c)
				wait(t, b.closed, "end of the backend's connection")
				if n := len(b.requests); n > 0 {
					t.Error("the request was sent again")
				}
			})
		}
	}
}

func TestClientThatLeavesWithinAStreamEndsTheAttempt(t *testing.T) {
	b := startBackend(t, replyAndKeepOpen(streamHead+chunk(firstEvent)))
	s := startTestProxy(t, nil, b)
	c := s.connect(t)
	c.send(t, requestText("/resume/x", "", ""))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	event := make([]byte, len(firstEvent))
	if _, err := io.ReadFull(response.Body, event); err != nil || string(event) != firstEvent {
		t.Errorf("event: got %q, %v, want %q", event, err, firstEvent)
	}
	c.Close()
	wait(t, b.closed, "end of the backend's connection")
}

func TestTruncatedBodyIsNotSent(t *testing.T) {
	b := startBackend(t, okReply(""))
	s := startTestProxy(t, nil, b)
	for _, text := range []string{
		requestText("/many/x", "", "body")[:len(requestText("/many/x", "", "body"))-1],
		strings.Replace(requestText("/many/x", "Transfer-Encoding: chunked\r\n", ""), "Content-Length: 0\r\n", "", 1) + chunk("body"),
		strings.Replace(requestText("/many/x", "Transfer-Encoding: chunked\r\n", ""), "Content-Length: 0\r\n", "", 1) + "5\r\nbo",
	} {
		c := s.connect(t)
		c.send(t, text)
		c.CloseWrite()
		if rest, err := io.ReadAll(c.reader); err != nil || strings.Contains(string(rest), " 200 ") {
			t.Errorf("response: got %q, %v, want no success", rest, err)
		}
	}
	if n := len(b.requests); n > 0 {
		t.Errorf("requests sent: got %d, want 0", n)
	}
}

func TestAmbiguousRequestsAreRefused(t *testing.T) {
	b := startBackend(t, okReply(""))
	s := startTestProxy(t, nil, b)
	const line, usual = "POST /many/x HTTP/1.1\r\n", "Host: h.example\r\nNickelline-Attempt-Id: 1\r\nAuthorization: Bearer k1\r\n"
	for name, text := range map[string]string{
		"two lengths":                 line + usual + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody5",
		"the same length twice":       line + usual + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
		"a length and chunks":         line + usual + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"a signed length":             line + usual + "Content-Length: +4\r\n\r\nbody",
		"a list of lengths":           line + usual + "Content-Length: 4, 4\r\n\r\nbody",
		"a second coding":             line + usual + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"an unknown coding":           line + usual + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"chunked twice":               line + usual + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"identity":                    line + usual + "Transfer-Encoding: identity\r\n\r\n",
		"a blank before the colon":    line + usual + "Content-Length : 4\r\n\r\nbody",
		"a folded line":               line + usual + "X-A: 1\r\n Content-Length: 4\r\n\r\nbody",
		"no host":                     line + "Nickelline-Attempt-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"two hosts":                   line + usual + "Host: other\r\nContent-Length: 0\r\n\r\n",
		"an older version":            "POST /many/x HTTP/1.0\r\n" + usual + "Content-Length: 0\r\n\r\n",
		"an absolute URL as a target": "POST http://h.example/many/x HTTP/1.1\r\n" + usual + "Content-Length: 0\r\n\r\n",
		"no id":                       line + "Host: h.example\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n",
		"no request":                  "hello\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := s.connect(t)
			c.send(t, text)
			if a := c.read(t); a.StatusCode != http.StatusBadRequest {
				t.Errorf("status: got %d, want %d", a.StatusCode, http.StatusBadRequest)
			}
			if n := len(b.requests); n > 0 {
				t.Error("a request was sent")
			}
			if name != "no id" {
				c.expectClosed(t)
			}
		})
	}
}

func TestSizesAreLimited(t *testing.T) {
	b := startBackend(t, okReply(""))
	s := startTestProxy(t, nil, b)
	for text, want := range map[string]int{
		requestText("/many/x", "X-Long: "+strings.Repeat("x", 16384)+"\r\n", ""): http.StatusRequestHeaderFieldsTooLarge,
		requestText("/many/x", "", strings.Repeat("x", 65537)):                   http.StatusRequestEntityTooLarge,
	} {
		if a := s.roundTrip(t, text); a.StatusCode != want {
			t.Errorf("status: got %d, want %d", a.StatusCode, want)
		}
	}
}

func TestIdleConnectionIsClosedWithoutAResponse(t *testing.T) {
	s := startTestProxy(t, nil, startBackend(t, replyAndKeepOpen(responseText(200, sealField, ""))))
	s.setLimits(func(l *configuration.Limits) { l.IdleTimeout = 50 * time.Millisecond })
	fresh, used := s.connect(t), s.connect(t)
	used.send(t, requestText("/many/x", "", ""))
	used.read(t)
	fresh.expectClosed(t)
	used.expectClosed(t)
}

func TestIncompleteRequestIsTimedOut(t *testing.T) {
	s := startTestProxy(t, nil, startBackend(t, okReply("")))
	s.setLimits(func(l *configuration.Limits) { l.HeaderTimeout = 50 * time.Millisecond })
	if a := s.roundTrip(t, "POST /many/x HTT"); a.StatusCode != http.StatusRequestTimeout {
		t.Errorf("status: got %d, want %d", a.StatusCode, http.StatusRequestTimeout)
	}
}

func TestFullProxyClosesTheConnectionIdleLongest(t *testing.T) {
	b := startBackend(t, replyAndKeepOpen(""))
	s := startTestProxy(t, func(o *Options) { o.MaxConnections = 2 }, b)
	busy, idle := s.connect(t), s.connect(t)
	busy.send(t, requestText("/many/x", "", ""))
	wait(t, b.requests, "request")
	next := s.connect(t)
	next.send(t, requestText("/many/x", "", ""))
	wait(t, b.requests, "request")
	idle.expectClosed(t)
	// No connection is idle any more, so the next one is refused.
	if a := s.roundTrip(t, requestText("/many/x", "", "")); a.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status: got %d, want %d", a.StatusCode, http.StatusServiceUnavailable)
	}
}
