package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"nickelline/internal/pause"
	"nickelline/internal/standin"
)

const (
	host = "soak.example"

	keyCalm, tenantCalm = "calm-key", "calm"
	keyHot, tenantHot   = "hot-key", "hot"
	hotRate             = 40.0 // requests a second, and the burst
	hotClients          = 4

	rotatingClients = 4
	formerKeys      = 3 // keys before the current one that clients still use

	// Clients of the hot tenant send little for a while, so that all buckets fill, and then far more than its limit.
	hotPeriod    = 8 * time.Second
	hotQuietTime = 4 * time.Second
	hotPause     = 5 * time.Millisecond
	quietPause   = 200 * time.Millisecond
	calmPause    = 40 * time.Millisecond

	routeTimeout  = 2 * time.Second
	clientTimeout = 2 * routeTimeout
	dialTimeout   = time.Second
	pollPause     = 50 * time.Millisecond
	maxAttempts   = 2

	routeCard  = "card"  // idempotent
	routeOrder = "order" // non_idempotent
	routeChat  = "chat"  // streaming, resumable
)

// client sends one request after the other on a connection that it keeps as long as the process lets it.
type client struct {
	tier       *tier
	record     *record
	operator   *operator
	random     *rand.Rand
	key        string // empty for a client that uses rotating keys
	startedAt  time.Time
	process    *process
	connection net.Conn
	reader     *bufio.Reader
}

func newClient(tier *tier, record *record, operator *operator, random *rand.Rand, i int) *client {
	c := &client{tier: tier, record: record, operator: operator, random: random, key: keyCalm, startedAt: time.Now()}
	switch {
	case i < hotClients:
		c.key = keyHot
	case i < hotClients+rotatingClients:
		c.key = ""
	}
	return c
}

// pause returns the mean time until the next request.
func (c *client) pause() time.Duration {
	switch {
	case c.key != keyHot:
		return calmPause
	case time.Since(c.startedAt)%hotPeriod < hotQuietTime:
		return quietPause
	default:
		return hotPause
	}
}

// run sends requests until the context ends.
func (c *client) run(ctx context.Context) {
	defer c.disconnect()
	for pause.For(ctx, between(c.random, 0, 2*c.pause())) {
		if c.connection == nil && !c.connect() {
			continue
		}
		c.send()
	}
}

// connect connects to a proxy, which need not be ready.
func (c *client) connect() bool {
	all := c.tier.ofRole(roleProxy)
	c.process = all[c.random.IntN(len(all))]
	connection, err := net.DialTimeout("tcp4", c.tier.layout.client(c.process.index).String(), dialTimeout)
	if err != nil {
		return false
	}
	c.connection, c.reader = connection, bufio.NewReader(connection)
	return true
}

func (c *client) disconnect() {
	if c.connection != nil {
		_ = c.connection.Close()
		c.connection = nil
	}
}

// send sends a request and reads the response.
func (c *client) send() {
	q := &request{
		attempt: fmt.Sprintf("%016x", c.random.Uint64()),
		route:   []string{routeCard, routeCard, routeOrder, routeChat}[c.random.IntN(4)],
		key:     noRotatingKey,
		process: c.process,
		sentAt:  time.Now(),
	}
	if c.key == "" {
		q.key = max(0, c.operator.rotatingKey()-c.random.IntN(formerKeys+1))
	}
	_ = c.connection.SetDeadline(q.sentAt.Add(clientTimeout)) // a failure shows when the request is written
	target := fmt.Sprintf("/%s/%s", q.route, q.attempt[:4])
	body := strings.Repeat(q.attempt, 1+c.random.IntN(20))
	tokens := 1 + c.random.IntN(8)
	keepOpen := false
	if q.err = c.write(q, target, body, tokens); q.err == nil {
		keepOpen, q.err = c.read(q, target, body, tokens)
	}
	q.endedAt = time.Now()
	q.timedOut = errors.Is(q.err, os.ErrDeadlineExceeded)
	q.excused = c.process.wasAbrupt(q.sentAt)
	c.record.ended(q)
	if !keepOpen {
		c.disconnect()
	}
}

func (c *client) write(q *request, target, body string, tokens int) error {
	key := c.key
	if q.key != noRotatingKey {
		key = rotatingKeyText(q.key)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", target, host, key)
	fmt.Fprintf(&text, "%s: %s\r\n%s: %d\r\n", headerAttemptID, q.attempt, headerDeadline, routeTimeout.Milliseconds())
	if q.route == routeChat {
		fmt.Fprintf(&text, "%s: m\r\n%s: 10,%d\r\n%s: %s:10\r\n", headerModel, headerTokenUsage, tokens, headerPromptPrefix, q.attempt)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(c.connection, text.String())
	return err
}

// read reads the response and checks it. It reports whether the connection may be kept. Only a connection that ends too soon
// is an error.
func (c *client) read(q *request, target, body string, tokens int) (keepOpen bool, err error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return false, err
	}
	q.status = response.StatusCode
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return false, err
	}
	if strings.Contains(string(content), malformedText) || strings.HasPrefix(response.Header.Get(headerResponseSeal), malformedText) {
		c.record.violation("MIXED: request %s got a malformed response from %s: %d %q %q", q.attempt, q.process.name, q.status, response.Header, content)
	}
	if response.StatusCode == http.StatusOK {
		c.checkSuccess(q, response.Header, string(content), target, body, tokens)
	}
	return !response.Close, nil
}

// checkSuccess checks that a successful response is the whole response of a backend to this request.
func (c *client) checkSuccess(q *request, header http.Header, content, target, body string, tokens int) {
	if got := header.Get(headerAttemptID); got != q.attempt {
		c.record.violation("MIXED: request %s got the response to %q from %s", q.attempt, got, q.process.name)
	}
	if header.Get(headerResponseSeal) == "" {
		c.record.violation("MIXED: response to %s from %s has no seal", q.attempt, q.process.name)
	}
	want := standin.ResponseText(http.MethodPost, target, []byte(body))
	got := content
	if q.route == routeChat {
		want, got = standin.StreamText(q.attempt, tokens), eventData(content)
	}
	if got != want {
		c.record.violation("MIXED: response to %s (%s) from %s is %q, want %q", q.attempt, q.route, q.process.name, got, want)
	}
}

// eventData returns the data of the events of a stream, separated by line feeds.
func eventData(stream string) string {
	var data []string
	for line := range strings.Lines(stream) {
		if text, found := strings.CutPrefix(line, "data: "); found {
			data = append(data, strings.TrimRight(text, "\r\n"))
		}
	}
	return strings.Join(data, "\n")
}

// isReady asks a proxy whether it is ready.
func isReady(address fmt.Stringer) bool {
	h := http.Client{Timeout: dialTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := h.Get("http://" + address.String() + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
