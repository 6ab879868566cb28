package proxy

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"nickelline/internal/forward"
)

func TestEventsAreDeliveredAsTheyCome(t *testing.T) {
	next := make(chan string)
	b := startBackend(t, func(b *backend, r received, conn net.Conn) bool {
		hold(streamHead)(b, r, conn)
		for part := range next {
			conn.Write([]byte(part))
		}
		return true
	})
	s := startTier(t, nil, b)
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
		t.Errorf("end %d, %v", n, err)
	}
	// The connection takes another request.
	c.send(t, requestText("/none/x", "", ""))
	if a := c.read(t); a.StatusCode != 404 {
		t.Errorf("status: got %d, want %d", a.StatusCode, 404)
	}
}

// continued replies to a request that asks to continue a stream after an event.
func continued(t *testing.T, after, answer string) reply {
	t.Helper()
	return func(b *backend, r received, conn net.Conn) bool {
		if got := r.Header.Get("Last-Event-Id"); got != after {
			t.Errorf("asked to continue after: got %q, want %q", got, after)
		}
		return text(answer)(b, r, conn)
	}
}

var fullStreamReply = text(whole(503, notRun, ""))

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
	{"whole", "/stream/x", func(*testing.T) []reply {
		return []reply{text(streamHead + chunk(firstEvent+secondEvent) + lastChunk)}
	}, 200, firstEvent + secondEvent, false, []int{1}},
	{"without events", "/stream/x", func(*testing.T) []reply { return []reply{text(streamHead + lastChunk)} }, 200, "", false, []int{1}},
	{"broken, not resumable", "/stream/x", func(*testing.T) []reply {
		return []reply{text(streamHead + chunk(firstEvent) + chunk(partOfAnEvent)), ok("")}
	}, 200, firstEvent, true, []int{1, 0}},
	{"broken before an event, not resumable", "/stream/x", func(*testing.T) []reply {
		return []reply{text(streamHead + chunk("id: 1")), ok("")}
	}, 502, "Bad Gateway", false, []int{1, 0}},
	{"broken, resumed", "/resume/x", func(t *testing.T) []reply {
		return []reply{text(streamHead + chunk(firstEvent) + chunk(partOfAnEvent)), continued(t, "1", otherHead+chunk(secondEvent)+lastChunk)}
	}, 200, firstEvent + secondEvent, false, []int{1, 1}},
	{"resumed with an event that was passed on", "/resume/x", func(t *testing.T) []reply {
		return []reply{text(streamHead + chunk(firstEvent)), continued(t, "1", otherHead+chunk(firstEvent+secondEvent)+lastChunk)}
	}, 200, firstEvent + secondEvent, false, []int{1, 1}},
	{"broken before an event, resumable", "/resume/x", func(t *testing.T) []reply {
		return []reply{breakOff, continued(t, "", streamHead+chunk(firstEvent)+lastChunk)}
	}, 200, firstEvent, false, []int{1, 1}},
	{"broken, then full, then resumed", "/resume/x", func(t *testing.T) []reply {
		return []reply{text(streamHead + chunk(firstEvent)), fullStreamReply, continued(t, "1", otherHead+chunk(secondEvent)+lastChunk)}
	}, 200, firstEvent + secondEvent, false, []int{1, 1, 1}},
	{"broken too often", "/resume/x", func(t *testing.T) []reply {
		return []reply{text(streamHead + chunk(firstEvent)), continued(t, "1", otherHead+chunk(secondEvent)), ok("")}
	}, 200, firstEvent + secondEvent, true, []int{1, 1, 0}},
	{"broken, then a failure", "/resume/x", func(*testing.T) []reply {
		return []reply{text(streamHead + chunk(firstEvent)), text(whole(500, sealField, "failed"))}
	}, 200, firstEvent, true, []int{1, 1}},
	{"broken, then nobody", "/resume/x", func(*testing.T) []reply {
		return []reply{text(streamHead + chunk(firstEvent))}
	}, 200, firstEvent, true, []int{1}},
	{"events without ids cannot be continued", "/resume/x", func(*testing.T) []reply {
		return []reply{text(streamHead + chunk("data: a\n\n")), ok("")}
	}, 200, "data: a\n\n", true, []int{1, 0}},
	{"data without an id behind an event", "/resume/x", func(*testing.T) []reply {
		return []reply{text(streamHead + chunk(firstEvent) + chunk("data: a\n\n")), ok("")}
	}, 200, firstEvent + "data: a\n\n", true, []int{1, 0}},
	{"a comment behind an event", "/resume/x", func(t *testing.T) []reply {
		return []reply{text(streamHead + chunk(firstEvent) + chunk(": b\n\n")), continued(t, "1", otherHead+chunk(secondEvent)+lastChunk)}
	}, 200, firstEvent + ": b\n\n" + secondEvent, false, []int{1, 1}},
	{"without a seal", "/stream/x", func(*testing.T) []reply {
		return []reply{text(strings.Replace(streamHead, sealField, "", 1) + chunk(firstEvent) + lastChunk)}
	}, 502, "Bad Gateway", false, []int{1}},
	{"full", "/stream/x", func(*testing.T) []reply { return []reply{fullStreamReply} }, 503, "Service Unavailable", false, []int{1}},
	{"a failure of the backend", "/stream/x", func(*testing.T) []reply { return []reply{text(whole(500, sealField, "failed"))} }, 500, "failed", false, []int{1}},
}

func TestStreams(t *testing.T) {
	for _, c := range streamCases {
		t.Run(c.name, func(t *testing.T) {
			var backends []*backend
			for _, answer := range c.backends(t) {
				backends = append(backends, startBackend(t, answer))
			}
			s := startTier(t, nil, backends...)
			a := s.post(t, c.path)
			if a.StatusCode != c.status || a.body != c.body {
				t.Errorf("answer: got %d %q, want %d %q", a.StatusCode, a.body, c.status, c.body)
			}
			if (a.err != nil) != c.incomplete {
				t.Errorf("end of the body: got %v, want it incomplete: %v", a.err, c.incomplete)
			}
			if counts := s.counts(); !slices.Equal(counts, c.counts) {
				t.Errorf("requests by backend: got %v, want %v", counts, c.counts)
			}
			if seal := a.Header.Get(forward.HeaderResponseSeal); c.status == 200 && seal != testSeal {
				t.Errorf("seal %q is not that of the first backend", seal)
			}
		})
	}
}

func TestClientContinuesAStream(t *testing.T) {
	b := startBackend(t, text(otherHead+chunk(secondEvent)+lastChunk))
	s := startTier(t, nil, b)
	a := s.ask(t, requestText("/resume/x", "Last-Event-Id: 1\r\n", ""))
	if a.body != secondEvent || a.err != nil {
		t.Errorf("answer %q, %v", a.body, a.err)
	}
	if got := (<-b.requests).Header.Get("Last-Event-Id"); got != "1" {
		t.Errorf("asked to continue after %q", got)
	}
}
