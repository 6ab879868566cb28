package responsehead

import (
	"bytes"
	"net/http"

	"nickelline/internal/httpsyntax"
)

// maxLineBytes bounds one line of a head.
const maxLineBytes = 64 << 10

// state is what a Checker expects next.
type state uint8

const (
	anything state = iota // no head: bytes are not checked
	statusLine
	fieldLine
)

// Checker checks the bytes of a response up to the end of its head. The zero value checks nothing until Begin is called. It does
// no I/O and is not safe for concurrent use.
type Checker struct {
	state state
	// partial is the beginning of a line whose end has not come yet.
	partial []byte
	// endsWithCR reports whether the lines of the head end with a carriage return and a line feed.
	endsWithCR bool
	// hasCodings reports whether the head may state a transfer coding, which HTTP/1.0 does not know (RFC 9112 section 6.1).
	hasCodings bool
	framing    framing
	// interim reports whether the head is that of an interim response, which another head follows.
	interim bool
	err     *MalformedError
}

// Begin makes the next byte the first one of a head.
func (c *Checker) Begin() {
	*c = Checker{state: statusLine, partial: c.partial[:0]}
}

// IsComplete reports whether the head of the final response has ended, or none was expected.
func (c *Checker) IsComplete() bool { return c.state == anything && c.err == nil }

// Check checks the next bytes. If one of them shows that the head is malformed, it returns how many bytes come before the malformed
// line, and a *MalformedError, as all later calls do until Begin.
func (c *Checker) Check(p []byte) (valid int, err error) {
	if c.err != nil {
		return 0, c.err
	}
	for valid < len(p) && c.state != anything {
		length := bytes.IndexByte(p[valid:], '\n') + 1
		if length == 0 {
			return c.keepPartial(p, valid)
		}
		if c.err = c.checkLine(c.wholeLine(p[valid : valid+length])); c.err != nil {
			return valid, c.err
		}
		valid += length
	}
	return len(p), nil
}

// keepPartial keeps the bytes from start on until the rest of their line comes.
func (c *Checker) keepPartial(p []byte, start int) (valid int, err error) {
	c.partial = append(c.partial, p[start:]...)
	if len(c.partial) > maxLineBytes {
		c.err = malformed(LineLength, c.partial)
		return start, c.err
	}
	return len(p), nil
}

// wholeLine returns the line whose last bytes are given.
func (c *Checker) wholeLine(last []byte) []byte {
	if len(c.partial) == 0 {
		return last
	}
	line := append(c.partial, last...)
	c.partial = line[:0]
	return line
}

// checkLine checks a line with its end.
func (c *Checker) checkLine(line []byte) *MalformedError {
	content, endsWithCR := bytes.CutSuffix(line[:len(line)-1], []byte{'\r'})
	if c.state == statusLine {
		c.endsWithCR = endsWithCR
		return c.checkStatusLine(content)
	}
	switch {
	case endsWithCR != c.endsWithCR:
		return malformed(LineEnd, line)
	case len(content) == 0:
		c.endHead()
		return nil
	}
	return c.checkField(content)
}

// checkStatusLine checks the first line of a head.
func (c *Checker) checkStatusLine(line []byte) *MalformedError {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	if !isVersion1(version) || !httpsyntax.IsFieldValue(rest) {
		return malformed(StatusLine, line)
	}
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	status, ok := parseStatus(code)
	if !ok {
		return malformed(Status, line)
	}
	c.state = fieldLine
	c.framing = framing{}
	c.hasCodings = version[len(version)-1] > '0'
	c.interim = status < http.StatusOK && status != http.StatusSwitchingProtocols
	return nil
}

// isVersion1 reports whether text is a version of HTTP/1.
func isVersion1(text []byte) bool {
	minor, found := bytes.CutPrefix(text, []byte("HTTP/1."))
	return found && len(minor) == 1 && isDigit(minor[0])
}

// parseStatus returns the status that a code states, and whether it is one of 100 to 599. RFC 9110 section 15 calls all others invalid.
func parseStatus(code []byte) (status int, ok bool) {
	const minStatus, maxStatus, digits = 100, 599, 3
	if len(code) != digits {
		return 0, false
	}
	for _, c := range code {
		if !isDigit(c) {
			return 0, false
		}
		status = 10*status + int(c-'0')
	}
	return status, minStatus <= status && status <= maxStatus
}

// endHead ends a head with its empty line. After an interim response comes another head.
func (c *Checker) endHead() {
	c.state = anything
	if c.interim {
		c.state = statusLine
	}
}

// checkField checks a line of the header section.
func (c *Checker) checkField(line []byte) *MalformedError {
	if isBlank(line[0]) {
		return malformed(FoldedLine, line)
	}
	name, value, found := bytes.Cut(line, []byte{':'})
	switch {
	case !found || !httpsyntax.IsToken(name):
		return malformed(FieldName, line)
	case !httpsyntax.IsFieldValue(value):
		return malformed(FieldValue, line)
	case !c.framing.add(name, value), c.framing.isChunked && !c.hasCodings:
		return malformed(Framing, line)
	}
	return nil
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
