package responsehead

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// check checks a text in pieces of the given size, and returns how much of it is valid.
func check(c *Checker, text string, pieceSize int) (valid int, err error) {
	for valid < len(text) {
		piece := text[valid:min(valid+pieceSize, len(text))]
		n, err := c.Check([]byte(piece))
		valid += n
		if err != nil {
			return valid, err
		}
	}
	return valid, nil
}

// reasonOf returns the reason of a *MalformedError, or an empty one for nil.
func reasonOf(t *testing.T, err error) Reason {
	t.Helper()
	if err == nil {
		return ""
	}
	var malformed *MalformedError
	if !errors.As(err, &malformed) {
		t.Fatalf("error: got %v, want a MalformedError", err)
	}
	return malformed.Reason
}

const okLine = "HTTP/1.1 200 OK\r\n"

// headCases are heads, and why they are malformed; empty: they are well-formed.
var headCases = []struct {
	name, head string
	want       Reason
}{
	{"no fields", okLine + "\r\n", ""},
	{"fields", okLine + "a: b\r\nX-1!#$%&'*+-.^_`|~: c\r\n\r\n", ""},
	{"empty value", okLine + "X-A:\r\nX-B: \r\n\r\n", ""},
	{"blanks around a value", okLine + "X-A: \t a \t \r\n\r\n", ""},
	{"bytes of other character sets in a value", okLine + "X-A: \x80\xff\r\n\r\n", ""},
	{"colons in a value", okLine + "X-A: : b:c\r\n\r\n", ""},
	{"lines that end with a line feed", "HTTP/1.1 200 OK\nX-A: a\n\n", ""},
	{"no reason phrase", "HTTP/1.1 200\r\nX-A: a\r\n\r\n", ""},
	{"interim heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nX-A: a\r\n\r\n" + okLine + "X-A: a\r\n\r\n", ""},
	{"whatever comes after the head", okLine + "\r\n: \x00\n\n x", ""},
	{"whatever comes after a switch of protocols", "HTTP/1.1 101 x\r\n\r\n: \x00\n\n x", ""},
	{"more than one space", "HTTP/1.1  200  OK\r\n\r\n", ""},
	{"another minor version", "HTTP/1.0 200 OK\r\n\r\n", ""},
	{"the least and the greatest status", "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 599 x\r\n\r\n", ""},
	{"status 000", "HTTP/1.1 000 x\r\n\r\n" + okLine + "\r\n", Status},
	{"status 099", "HTTP/1.1 099 x\r\n\r\n" + okLine + "\r\n", Status},
	{"status 600", "HTTP/1.1 600 x\r\n\r\n", Status},
	{"a sign", "HTTP/1.1 +20 x\r\n\r\n", Status},
	{"two digits", "HTTP/1.1 20 x\r\n\r\n", Status},
	{"no status", "HTTP/1.1\r\n\r\n", Status},
	{"status 000 after an interim head", "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 000 x\r\n\r\n", Status},
	{"another major version", "HTTP/2.0 200 OK\r\n\r\n", StatusLine},
	{"no version", "ICY 200 OK\r\n\r\n", StatusLine},
	{"empty line", "\r\n" + okLine + "\r\n", StatusLine},
	{"control byte in the reason phrase", "HTTP/1.1 200 a\x00\r\n\r\n", StatusLine},
	{"a length twice", okLine + "Content-Length: 5\r\ncontent-length:5 \r\n\r\n", ""},
	{"chunks", okLine + "Transfer-Encoding: Chunked \r\n\r\n", ""},
	{"lengths of two heads", "HTTP/1.1 103 x\r\nContent-Length: 0\r\n\r\n" + okLine + "Transfer-Encoding: chunked\r\n\r\n", ""},
	{"two lengths", okLine + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", Framing},
	{"a length before chunks", okLine + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", Framing},
	{"a length after chunks", okLine + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", Framing},
	{"chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Framing},
	{"another coding", okLine + "Transfer-Encoding: gzip, chunked\r\n\r\n", Framing},
	{"a length that is no number", okLine + "Content-Length: 0x5\r\n\r\n", Framing},
	{"a length that is too large", okLine + "Content-Length: 9223372036854775808\r\n\r\n", Framing},
	{"no name", okLine + ": a\r\n\r\n", FieldName},
	{"no colon", okLine + "X-A\r\n\r\n", FieldName},
	{"blank in a name", okLine + "X A: a\r\n\r\n", FieldName},
	{"blank after a name", okLine + "X-A : a\r\n\r\n", FieldName},
	{"control byte in a name", okLine + "X\x00A: a\r\n\r\n", FieldName},
	{"byte of another character set in a name", okLine + "X\xe4: a\r\n\r\n", FieldName},
	{"control byte in a value", okLine + "X-A: a\x01\r\n\r\n", FieldValue},
	{"carriage return in a value", okLine + "X-A: a\rb\r\n\r\n", FieldValue},
	{"folded line", okLine + "X-A: a\r\n b\r\n\r\n", FoldedLine},
	{"blank first line", okLine + " X-A: a\r\n\r\n", FoldedLine},
	{"empty line that ends with a line feed", okLine + "X-A: a\r\n\n", LineEnd},
	{"line that ends with a carriage return and a line feed", "HTTP/1.1 200 OK\nX-A: a\r\n\n", LineEnd},
	{"line after an interim head", "HTTP/1.1 100 x\r\n\r\n" + okLine + "X A: a\r\n\r\n", FieldName},
	{"line of an interim head", "HTTP/1.1 100 x\r\nX A: a\r\n\r\n" + okLine + "\r\n", FieldName},
	{"endless line", okLine + "X-A: " + strings.Repeat("a", 2*maxLineBytes), LineLength},
}

func TestHeads(t *testing.T) {
	for _, c := range headCases {
		t.Run(c.name, func(t *testing.T) {
			for _, pieceSize := range []int{1, 2, 7, 1 << 20} {
				var checker Checker
				checker.Begin()
				valid, err := check(&checker, c.head, pieceSize)
				if got := reasonOf(t, err); got != c.want {
					t.Errorf("in pieces of %d: got %q at byte %d, want %q", pieceSize, got, valid, c.want)
				}
				if isComplete := checker.IsComplete(); isComplete != (c.want == "") {
					t.Errorf("in pieces of %d: complete is %v", pieceSize, isComplete)
				}
			}
		})
	}
}

// TestPiecesDoNotMatter checks that the verdict on a text, and what comes before its malformed line, do not depend on the pieces in
// which the text arrives.
func TestPiecesDoNotMatter(t *testing.T) {
	lines := []string{okLine, "HTTP/1.1 000 x\r\n", "HTTP/1.1 100 x\r\n", "X-A: a\r\n", "Content-Length: 1\r\n", "X A: a\r\n", " b\r\n", "\r\n", "\n", "X-B: \x01\r\n", "X-C: c\n", "X-D"}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom(lines)).Draw(t, "lines"), "")
		var whole, pieces Checker
		whole.Begin()
		pieces.Begin()
		_, wantErr := check(&whole, text, 1<<20)
		_, err := check(&pieces, text, rapid.IntRange(1, 20).Draw(t, "pieceSize"))
		if (err == nil) != (wantErr == nil) || err != nil && err.Error() != wantErr.Error() {
			t.Fatalf("%q: got %v in pieces, %v at once", text, err, wantErr)
		}
	})
}

// TestMalformedLineIsWithheld guards against a parser that goes on after a malformed head, also if it drops the error of a read.
func TestMalformedLineIsWithheld(t *testing.T) {
	const valid = okLine + "X-A: a\r\n"
	r := NewReader(iotest.HalfReader(strings.NewReader(valid + "\nX-B: b\r\n\r\n" + okLine + "\r\n")))
	r.ExpectResponse()
	var got []byte
	buffer := make([]byte, 10)
	failures := 0
	for range 100 {
		n, err := r.Read(buffer)
		got = append(got, buffer[:n]...)
		if reasonOf(t, err) != "" {
			failures++
		}
	}
	if !strings.HasPrefix(valid, string(got)) || failures == 0 {
		t.Errorf("read: got %q and %d failures, want the beginning of %q and failures", got, failures, valid)
	}
}

// TestResponsesOfOneConnection checks that each response is checked from its first byte on, and that bodies are not.
func TestResponsesOfOneConnection(t *testing.T) {
	responses := []string{
		okLine + "Content-Length: 6\r\n\r\n: \n\n x",
		"HTTP/1.1 200 OK\n\n",
		okLine + "X A: a\r\n\r\n",
	}
	var source bytes.Buffer
	r := NewReader(&source)
	for i, text := range responses {
		source.WriteString(text)
		r.ExpectResponse()
		if r.HasBegun() {
			t.Errorf("response %d has begun before any byte was read", i)
		}
		got, err := io.ReadAll(r)
		if isLast := i == len(responses)-1; !isLast && (err != nil || string(got) != text) {
			t.Errorf("response %d: got %q, %v, want %q", i, got, err, text)
		} else if isLast && reasonOf(t, err) != FieldName {
			t.Errorf("response %d: got %q, %v, want a malformed name", i, got, err)
		}
		if !r.HasBegun() {
			t.Errorf("response %d has not begun", i)
		}
	}
}
