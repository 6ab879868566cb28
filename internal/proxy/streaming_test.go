package proxy

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"nickelline/internal/forward"
)

func TestEventsAreDeliveredAsTheyArrive(t *testing.T) {
	next := make(chan string)
	b := startBackend(t, func(b *backend, r received, conn net.Conn) bool {
		replyAndKeepOpen(streamHead)(b, r, conn)
		for part := range next {
			conn.Write([]byte(part))
		}
		return true
	})
	s := startTestProxy(t, nil, b)
	c := s.connect(t)
	c.send(t, requestText("/stream/x", "", ""))
	next <- chunk(firstEvent)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	read := func(want string) {
		t.Helper()
		got := make([]byte, len(want))
		for n := 0; n < len(got); {
			m, err := response.Body.Read(got[n:])
			n += m
			if err != nil && n < len(got) {
				t.Fatal(err)
			}
		}
		if string(got) != want {
			t.Errorf("events: got %q, want %q", got, want)
		}
	}
	read(firstEvent)
	next <- chunk(secondEvent[:5])
	next <- chunk(secondEvent[5:])
	read(secondEvent)
	next <- chunk(thirdEvent) + lastChunk
	read(thirdEvent)
	close(next)
	if n, err := response.Body.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("end of the stream: got %d bytes, %v, want 0 and an error", n, err)
	}
	// The connection accepts another request.
	c.send(t, requestText("/none/x", "", ""))
	if a := c.read(t); a.StatusCode != 404 {
		t.Errorf("status: got %d, want %d", a.StatusCode, 404)
	}
}

// resumedReply replies to a request that must ask to resume a stream after the event with id after.
func resumedReply(t *testing.T, after, replyText string) reply {
	t.Helper()
	return func(b *backend, r received, conn net.Conn) bool {
		if got := r.Header.Get("Last-Event-Id"); got != after {
			t.Errorf("Last-Event-Id: got %q, want %q", got, after)
		}
		return replyAndClose(replyText)(b, r, conn)
	}
}

var fullStreamReply = replyAndClose(responseText(503, notExecutedField, ""))

// streamCases are requests for streams to backends that reply in different ways.
var streamCases = []struct {
	name       string
	path       string
	backends   func(t *testing.T) []reply
	status     int
	body       string
	incomplete bool
	counts     []int
}{
	{"complete", "/stream/x", func(*testing.T) []reply {
		return []reply{replyAndClose(streamHead + chunk(firstEvent+secondEvent) + lastChunk)}
	}, 200, firstEvent + secondEvent, false, []int{1}},
	{"without events", "/stream/x", func(*testing.T) []reply { return []reply{replyAndClose(streamHead + lastChunk)} }, 200, "", false, []int{1}},
	{"broken, not resumable", "/stream/x", func(*testing.T) []reply {
		return []reply{replyAndClose(streamHead + chunk(firstEvent) + chunk(partialEvent)), okReply("")}
	}, 200, firstEvent, true, []int{1, 0}},
	{"broken before an event, not resumable", "/stream/x", func(*testing.T) []reply {
		return []reply{replyAndClose(streamHead + chunk("id: 1")), okReply("")}
	}, 502, "Bad Gateway", false, []int{1, 0}},
	{"broken, resumed", "/resume/x", func(t *testing.T) []reply {
		return []reply{replyAndClose(streamHead + chunk(firstEvent) + chunk(partialEvent)), resumedReply(t, "1", otherHead+chunk(secondEvent)+lastChunk)}
	}, 200, firstEvent + secondEvent, false, []int{1, 1}},
	{"resumed with an event that was already delivered", "/resume/x", func(t *testing.T) []reply {
		return []reply{replyAndClose(streamHead + chunk(firstEvent)), resumedReply(t, "1", otherHead+chunk(firstEvent+secondEvent)+lastChunk)}
	}, 200, firstEvent + secondEvent, false, []int{1, 1}},
	{"broken before an event, resumable", "/resume/x", func(t *testing.T) []reply {
		return []reply{closeWithoutReply, resumedReply(t, "", streamHead+chunk(firstEvent)+lastChunk)}
	}, 200, firstEvent, false, []int{1, 1}},
	{"broken, then full, then resumed", "/resume/x", func(t *testing.T) []reply {
		return []reply{replyAndClose(streamHead + chunk(firstEvent)), fullStreamReply, resumedReply(t, "1", otherHead+chunk(secondEvent)+lastChunk)}
	}, 200, firstEvent + secondEvent, false, []int{1, 1, 1}},
	{"broken too often", "/resume/x", func(t *testing.T) []reply {
		return []reply{replyAndClose(streamHead + chunk(firstEvent)), resumedReply(t, "1", otherHead+chunk(secondEvent)), okReply("")}
	}, 200, firstEvent + secondEvent, true, []int{1, 1, 0}},
	{"broken, then a failure", "/resume/x", func(*testing.T) []reply {
		return []reply{replyAndClose(streamHead + chunk(firstEvent)), replyAndClose(responseText(500, sealField, "failed"))}
	}, 200, firstEvent, true, []int{1, 1}},
	{"broken, then no backend", "/resume/x", func(*testing.T) []reply {
		return []reply{replyAndClose(streamHead + chunk(firstEvent))}
	}, 200, firstEvent, true, []int{1}},
	{"events without ids cannot be continued", "/resume/x", func(*testing.T) []reply {
		return []reply{replyAndClose(streamHead + chunk("data: a\n\n")), okReply("")}
	}, 200, "data: a\n\n", true, []int{1, 0}},
	{"data without an id after an event", "/resume/x", func(*testing.T) []reply {
		return []reply{replyAndClose(streamHead + chunk(firstEvent) + chunk("data: a\n\n")), okReply("")}
	}, 200, firstEvent + "data: a\n\n", true, []int{1, 0}},
	{"a comment after an event", "/resume/x", func(t *testing.T) []reply {
		return []reply{replyAndClose(streamHead + chunk(firstEvent) + chunk(": b\n\n")), resumedReply(t, "1", otherHead+chunk(secondEvent)+lastChunk)}
	}, 200, firstEvent + ": b\n\n" + secondEvent, false, []int{1, 1}},
	{"without a seal", "/stream/x", func(*testing.T) []reply {
		return []reply{replyAndClose(strings.Replace(streamHead, sealField, "", 1) + chunk(firstEvent) + lastChunk)}
	}, 502, "Bad Gateway", false, []int{1}},
	{"full", "/stream/x", func(*testing.T) []reply { return []reply{fullStreamReply} }, 503, "Service Unavailable", false, []int{1}},
	{"a failure of the backend", "/stream/x", func(*testing.T) []reply { return []reply{replyAndClose(responseText(500, sealField, "failed"))} }, 500, "failed", false, []int{1}},
}

func TestStreams(t *testing.T) {
	for _, c := range streamCases {
		t.Run(c.name, func(t *testing.T) {
			var backends []*backend
			for _, respond := range c.backends(t) {
				backends = append(backends, startBackend(t, respond))
			}
			s := startTestProxy(t, nil, backends...)
			a := s.post(t, c.path)
			if a.StatusCode != c.status || a.body != c.body {
				t.Errorf("response: got %d %q, want %d %q", a.StatusCode, a.body, c.status, c.body)
			}
			if (a.err != nil) != c.incomplete {
				t.Errorf("end of the body: got %v, want it incomplete: %v", a.err, c.incomplete)
			}
			if counts := s.requestCounts(); !slices.Equal(counts, c.counts) {
				t.Errorf("requests by backend: got %v, want %v", counts, c.counts)
			}
			if seal := a.Header.Get(forward.HeaderResponseSeal); c.status == 200 && seal != testSeal {
				t.Errorf("seal: got %q, want %q of the first backend", seal, testSeal)
			}
		})
	}
}

func TestClientContinuesAStream(t *testing.T) {
	b := startBackend(t, replyAndClose(otherHead+chunk(secondEvent)+lastChunk))
	s := startTestProxy(t, nil, b)
	a := s.roundTrip(t, requestText("/resume/x", "Last-Event-Id: 1\r\n", ""))
	if a.body != secondEvent || a.err != nil {
		t.Errorf("response: got %q, %v, want %q", a.body, a.err, secondEvent)
	}
	if got := (<-b.requests).Header.Get("Last-Event-Id"); got != "1" {
		t.Errorf("Last-Event-Id: got %q, want \"1\"", got)
	}
}
