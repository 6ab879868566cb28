package forward

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"time"

	"nickelline/internal/admission"
)

func TestEventsEndAtEmptyLines(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\ndata:c\r\ndata:\r\n\r\nversions: 3\nid: 3\ndata: d\n\n"
	for name, source := range map[string]io.Reader{
		"at once":      strings.NewReader(text),
		"byte by byte": iotest.OneByteReader(strings.NewReader(text)),
	} {
		t.Run(name, func(t *testing.T) {
			r := eventReader{source: source}
			var raw strings.Builder
			for _, want := range []Event{{ID: "1", Data: []byte("a")}, {ID: "2", Data: []byte("b\nc\n")}, {ID: "3", Data: []byte("d")}} {
				got, err := r.next()
				if err != nil || got.ID != want.ID || string(got.Data) != string(want.Data) {
					t.Errorf("event: got %q %q, %v; want %q %q", got.ID, got.Data, err, want.ID, want.Data)
				}
				raw.Write(got.Raw)
			}
			if raw.String() != text {
				t.Errorf("raw events: got %q, want %q", raw.String(), text)
			}
			if _, err := r.next(); err != io.EOF { //nolint:errorlint // the end is an unwrapped io.EOF
				t.Errorf("end: got %v, want io.EOF", err)
			}
		})
	}
}

func TestLargeEvent(t *testing.T) {
	data := strings.Repeat("x", 100_000)
	r := eventReader{source: strings.NewReader("data: a\n\ndata: " + data + "\n\n")}
	r.next()
	if event, err := r.next(); err != nil || string(event.Data) != data {
		t.Errorf("large event: got %d bytes, %v, want %d bytes", len(event.Data), err, len(data))
	}
	r = eventReader{source: strings.NewReader(strings.Repeat("x", 2*maxEventBytes))}
	if _, err := r.next(); !errors.Is(err, errTooLarge) {
		t.Errorf("event without an end: got %v, want %v", err, errTooLarge)
	}
}

func TestStreamEnds(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, c := range []struct {
		name, text string
		want       string // events
		complete   bool
	}{
		{"chunks", streamFields + chunk(first) + chunk(second) + lastChunk, first + second, true},
		{"chunks across events", streamFields + chunk(first[:7]) + chunk(first[7:]+second) + lastChunk, first + second, true},
		{"a length", "Content-Type: text/event-stream; charset=utf-8\r\nContent-Length: 15\r\n\r\n" + first, first, true},
		{"cut within an event", streamFields + chunk(first) + chunk(second[:7]) + closeAfter, first, false},
		{"cut between events", streamFields + chunk(first) + closeAfter, first, false},
		{"cut within the last chunk", streamFields + chunk(first) + "0\r\n" + closeAfter, first, false},
		{"cut before the stated length", "Content-Type: text/event-stream\r\nContent-Length: 30\r\n\r\n" + first + closeAfter, first, false},
		{"end of the connection only", "Content-Type: text/event-stream\r\n\r\n" + first + closeAfter, first, false},
		{"text after the last event", streamFields + chunk(first+": end") + lastChunk, first + ": end", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startBackend(t, rawResponse("200 OK", c.text))
			response, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, testRequest())
			if failure != nil {
				t.Fatal(failure)
			}
			if !response.Streaming {
				t.Error("Streaming: got false, want true")
			}
			var got strings.Builder
			event, err := response.Next()
			for err == nil {
				got.Write(event.Raw)
				event, err = response.Next()
			}
			if got.String() != c.want {
				t.Errorf("events: got %q, want %q", got.String(), c.want)
			}
			if complete := err == io.EOF; complete != c.complete { //nolint:errorlint // the end is an unwrapped io.EOF
				t.Errorf("end: got %v, want io.EOF: %v", err, c.complete)
			}
			if !c.complete && (!errors.As(err, &failure) || failure.Outcome != MayHaveRun) {
				t.Errorf("end: got %v, want a failure with outcome %v", err, MayHaveRun)
			}
		})
	}
}

func TestReadyReportsWholeEvents(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	b := startBackend(t, rawResponse("200 OK", streamFields+chunk(first+second+"id: 3")+closeAfter))
	response, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, testRequest())
	if failure != nil {
		t.Fatal(failure)
	}
	response.Next()
	if !response.Ready() {
		t.Error("Ready: got false, want true after the second event has arrived")
	}
	response.Next()
	if response.Ready() {
		t.Error("Ready: got true, want false while the third event is incomplete")
	}
}

func TestReadyReportsTheEnd(t *testing.T) {
	b := startBackend(t, rawResponse("200 OK", streamFields+chunk("id: 1\ndata: a\n\n")+lastChunk))
	response, failure := testClient(t, 0, b).Do(t.Context(), b.Backend, testRequest())
	if failure != nil {
		t.Fatal(failure)
	}
	if _, err := response.Next(); err != nil || !response.Ready() {
		t.Errorf("Next: got error %v and then Ready %v, want none and true", err, response.Ready())
	}
	if _, err := response.Next(); err != io.EOF { //nolint:errorlint // the end is an unwrapped io.EOF
		t.Errorf("end: got %v, want io.EOF", err)
	}
}

func TestParseServerLoad(t *testing.T) {
	for text, want := range map[string]*admission.Load{
		"3,0,8":            {Running: 3, Waiting: 0, Slots: 8},
		" 3 , 1 , 8 ":      {Running: 3, Waiting: 1, Slots: 8},
		"":                 nil,
		"3":                nil,
		"3,0":              nil,
		"3,0,8,1":          nil,
		"3,0,x":            nil,
		"-1,0,8":           nil,
		"99999999999,0,8":  nil,
		"3.5,0,8":          nil,
		"3,0,888888888888": nil,
	} {
		got := parseServerLoad(text)
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("parseServerLoad(%q): got %v, want %v", text, got, want)
		}
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=5": 5 * time.Second, "max=3, Timeout=2": 2 * time.Second, "timeout=0": 0, "timeout=1e30": keepAliveLimit,
		"": -1, "max=3": -1, "timeout=x": -1, "timeout=-1": -1,
	} {
		got, stated := keepAliveTimeout(text)
		if stated != (want >= 0) || stated && got != want {
			t.Errorf("keepAliveTimeout(%q): got %v, %v, want %v", text, got, stated, want)
		}
	}
}
