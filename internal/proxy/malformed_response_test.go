package proxy

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// strangeBody is the body of responses that must not reach a client.
const strangeBody = "strange"

// malformedFields are header lines that no response may have.
var malformedFields = []struct{ name, line string }{
	{"blank in a name", "X Strange: strange\r\n"},
	{"blank after a name", "X-Strange : strange\r\n"},
	{"control byte in a name", "X\x01Strange: strange\r\n"},
	{"blank before a name", " X-Strange: strange\r\n"},
	{"tab before a name", "\tX-Strange: strange\r\n"},
	{"line feed before a name", "\nX-Strange: strange\r\n"},
	{"chunks after a blank", "Transfer-Encoding : chunked\r\n"},
}

// malformedContexts are the kinds of response in which a client must not get a malformed line. respond returns the responses of the
// backends, of which the first has the line.
var malformedContexts = []struct {
	name, path string
	respond    func(line string) []reply
	status     int
	body       string // of the proper response that the client gets; empty: the response is the proxy's own
	counts     []int
}{
	{"success", "/once/x", func(line string) []reply {
		return []reply{replyAndClose(responseText(200, sealField+line, strangeBody)), okReply("b")}
	}, 502, "", []int{1, 0}},
	{"success, repeatable", "/many/x", func(line string) []reply {
		return []reply{replyAndClose(responseText(200, sealField+line, strangeBody)), okReply("b")}
	}, 200, "b", []int{1, 1}},
	{"no such thing", "/once/x", func(line string) []reply {
		return []reply{replyAndClose(responseText(404, sealField+line, strangeBody)), okReply("b")}
	}, 502, "", []int{1, 0}},
	{"server error", "/once/x", func(line string) []reply {
		return []reply{replyAndClose(responseText(500, sealField+line, strangeBody)), okReply("b")}
	}, 502, "", []int{1, 0}},
	{"server error, kept for the end", "/many/x", func(line string) []reply {
		return []reply{replyAndClose(responseText(500, sealField+line, strangeBody)), closeWithoutReply}
	}, 502, "", []int{1, 1}},
	{"promise of no execution", "/once/x", func(line string) []reply {
		return []reply{replyAndClose(responseText(503, notExecutedField+line, strangeBody)), okReply("b")}
	}, 502, "", []int{1, 0}},
	{"no content", "/once/x", func(line string) []reply {
		return []reply{replyAndClose("HTTP/1.1 204 x\r\nNickelline-Attempt-Id: ID\r\n" + sealField + line + "\r\n"), okReply("b")}
	}, 502, "", []int{1, 0}},
	{"not modified", "/once/x", func(line string) []reply {
		return []reply{replyAndClose("HTTP/1.1 304 x\r\nNickelline-Attempt-Id: ID\r\n" + sealField + line + "\r\n"), okReply("b")}
	}, 502, "", []int{1, 0}},
	{"interim response", "/once/x", func(line string) []reply {
		return []reply{replyAndClose("HTTP/1.1 103 x\r\n" + line + "\r\n" + responseText(200, sealField, strangeBody)), okReply("b")}
	}, 502, "", []int{1, 0}},
	{"stream", "/stream/x", func(line string) []reply {
		return []reply{replyAndClose(withField(streamHead, line) + chunk(firstEvent) + lastChunk), okReply("")}
	}, 502, "", []int{1, 0}},
	{"resumed stream", "/resume/x", func(line string) []reply {
		return []reply{
			replyAndClose(streamHead + chunk(firstEvent)),
			replyAndClose(withField(otherHead, line) + chunk("id: 2\ndata: strange\n\n") + lastChunk),
			replyAndClose(otherHead + chunk(secondEvent) + lastChunk),
		}
	}, 200, firstEvent, []int{1, 1, 0}},
}

// withField returns the head of a response with a further line behind its first one.
func withField(head, line string) string {
	return strings.Replace(head, "\r\n", "\r\n"+line, 1)
}

// TestMalformedResponseDoesNotReachTheClient guards against a response with a malformed line in its head being passed on, and against
// a request being sent again by what such a head promises.
func TestMalformedResponseDoesNotReachTheClient(t *testing.T) {
	for _, c := range malformedContexts {
		for _, field := range malformedFields {
			t.Run(c.name+"/"+field.name, func(t *testing.T) {
				var backends []*backend
				for _, respond := range c.respond(field.line) {
					backends = append(backends, startBackend(t, respond))
				}
				s := startTestProxy(t, nil, backends...)
				a := s.post(t, c.path)
				if a.StatusCode != c.status || c.body != "" && a.body != c.body {
					t.Errorf("response: got %d %q, want %d %q", a.StatusCode, a.body, c.status, c.body)
				}
				expectNothingStrange(t, a)
				if counts := s.requestCounts(); !slices.Equal(counts, c.counts) {
					t.Errorf("requests by backend: got %v, want %v", counts, c.counts)
				}
			})
		}
	}
}

func expectNothingStrange(t *testing.T, a clientResponse) {
	t.Helper()
	if strings.Contains(a.body, strangeBody) {
		t.Errorf("body: got %q of the malformed response", a.body)
	}
	for name, values := range a.Header {
		if strings.Contains(strings.Join(append(values, strings.ToLower(name)), " "), strangeBody) {
			t.Errorf("header: got %q: %q of the malformed response", name, values)
		}
	}
}

// TestResponseWithAnInvalidStatusDoesNotReachTheClient guards against a response whose status is no status being passed on, and against
// what follows it on the connection being taken for the response.
func TestResponseWithAnInvalidStatusDoesNotReachTheClient(t *testing.T) {
	proper := responseText(200, sealField, strangeBody)
	for _, status := range []string{"000", "042", "099", "600", "999"} {
		invalid := strings.Replace(proper, "200", status, 1)
		stream := strings.Replace(streamHead, "200", status, 1)
		for _, c := range []struct {
			name, path, text string
			status           int
			body             string
			counts           []int
		}{
			{"alone", "/once/x", invalid, 502, "", []int{1, 0}},
			{"alone, repeatable", "/many/x", invalid, 200, "b", []int{1, 1}},
			{"before a proper one", "/once/x", strings.Replace(invalid, strangeBody, "", 1) + proper, 502, "", []int{1, 0}},
			{"without a body before a proper one", "/once/x", "HTTP/1.1 " + status + " x\r\n\r\n" + proper, 502, "", []int{1, 0}},
			{"after an interim one", "/once/x", "HTTP/1.1 100 x\r\n\r\n" + invalid, 502, "", []int{1, 0}},
			{"not executed", "/once/x", strings.Replace(invalid, sealField, notExecutedField, 1), 502, "", []int{1, 0}},
			{"stream", "/stream/x", stream + chunk("id: 1\ndata: strange\n\n") + lastChunk, 502, "", []int{1, 0}},
		} {
			t.Run(status+" "+c.name, func(t *testing.T) {
				s := startTestProxy(t, nil, startBackend(t, replyAndClose(c.text)), startBackend(t, okReply("b")))
				a := s.post(t, c.path)
				if a.StatusCode != c.status || c.body != "" && a.body != c.body {
					t.Errorf("response: got %d %q, want %d %q", a.StatusCode, a.body, c.status, c.body)
				}
				expectNothingStrange(t, a)
				if counts := s.requestCounts(); !slices.Equal(counts, c.counts) {
					t.Errorf("requests by backend: got %v, want %v", counts, c.counts)
				}
			})
		}
	}
}

// TestAmbiguousResponseDoesNotReachTheClient guards against a response being passed on that leaves open where its body ends or whose it is,
// or whose body is not the backend's.
func TestAmbiguousResponseDoesNotReachTheClient(t *testing.T) {
	chunks := chunk(strangeBody) + lastChunk
	const chunked = "Transfer-Encoding: chunked\r\n"
	for name, text := range map[string]string{
		"length beside chunks":             responseText(200, sealField+chunked, chunks),
		"chunks of HTTP/1.0 beside length": strings.Replace(responseText(200, sealField+chunked, chunks), "HTTP/1.1", "HTTP/1.0", 1),
		"two ids":                          responseText(200, sealField+"Nickelline-Attempt-Id: strange\r\n", strangeBody),
		"two seals":                        responseText(200, sealField+"Nickelline-Response-Seal: strange\r\n", strangeBody),
		"encoded body":                     responseText(200, sealField+"Content-Encoding: gzip\r\n", strangeBody),
		"encoded stream":                   withField(streamHead, "Content-Encoding: gzip\r\n") + chunk("id: 1\ndata: strange\n\n") + lastChunk,
		"promise with two ids":             responseText(503, notExecutedField+"Nickelline-Attempt-Id: strange\r\n", ""),
		"promise with a length and chunks": responseText(503, notExecutedField+chunked, lastChunk),
	} {
		t.Run(name, func(t *testing.T) {
			s := startTestProxy(t, nil, startBackend(t, replyAndClose(text)), startBackend(t, okReply("b")))
			a := s.post(t, "/once/x")
			if a.StatusCode != http.StatusBadGateway {
				t.Errorf("status: got %d with %q, want %d", a.StatusCode, a.body, http.StatusBadGateway)
			}
			expectNothingStrange(t, a)
			if counts := s.requestCounts(); !slices.Equal(counts, []int{1, 0}) {
				t.Errorf("requests by backend: got %v, want [1 0]", counts)
			}
		})
	}
}

// TestMalformedResponseToHead is the same for a request whose response has no body.
func TestMalformedResponseToHead(t *testing.T) {
	for _, field := range malformedFields {
		t.Run(field.name, func(t *testing.T) {
			b := startBackend(t, replyAndClose("HTTP/1.1 200 x\r\nNickelline-Attempt-Id: ID\r\n"+sealField+field.line+"Content-Length: 5\r\n\r\n"))
			c := startTestProxy(t, nil, b).connect(t)
			c.send(t, strings.Replace(requestText("/once/x", "", ""), http.MethodPost, http.MethodHead, 1))
			response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != http.StatusBadGateway {
				t.Errorf("status: got %d, want %d", response.StatusCode, http.StatusBadGateway)
			}
			expectNothingStrange(t, clientResponse{Response: response})
		})
	}
}

// TestConnectionIsNotUsedAfterAMalformedResponse guards against what follows a malformed head being taken for the response to the next
// request.
func TestConnectionIsNotUsedAfterAMalformedResponse(t *testing.T) {
	connections := make(chan net.Conn, 100)
	b := startBackend(t, func(_ *backend, r received, conn net.Conn) bool {
		connections <- conn
		id := r.Header.Get("Nickelline-Attempt-Id")
		io.WriteString(conn, strings.ReplaceAll(responseText(200, sealField+"X Strange: strange\r\n", strangeBody), "ID", id))
		return true
	})
	s := startTestProxy(t, nil, b)
	for range 3 {
		expectNothingStrange(t, s.post(t, "/once/x"))
		wait(t, b.closed, "end of the connection to the backend")
	}
	if n := len(connections); n != 3 {
		t.Errorf("responses: got %d, want 3, each on a connection of its own", n)
	}
}
