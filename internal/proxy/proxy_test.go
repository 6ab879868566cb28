package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/admission"
	"nickelline/internal/configuration"
	"nickelline/internal/discovery"
	"nickelline/internal/forward"
)

const (
	testHost  = "h.example"
	testKey   = "k1"
	testID    = "9c41d07be2a35f68"
	testSeal  = "3e1b.07"
	otherSeal = "4f2c.08"
	// testTimeout is longer than any test takes unless something hangs.
	testTimeout = 10 * time.Second
)

const testDocument = `{"version":1,
"routes":[
 {"name":"r-once","hostname":"h.example","pathPrefix":"/once/","routeKind":"non_idempotent","timeoutMs":10000,"priority":2,"service":"s","maxAttempts":3},
 {"name":"r-many","hostname":"h.example","pathPrefix":"/many/","routeKind":"idempotent","timeoutMs":10000,"targetLatencyMs":200,"priority":1,"service":"s","maxAttempts":2},
 {"name":"r-short","hostname":"h.example","pathPrefix":"/short/","routeKind":"idempotent","timeoutMs":400,"priority":1,"service":"s","maxAttempts":2},
 {"name":"r-open","hostname":"h.example","pathPrefix":"/open/","routeKind":"idempotent","timeoutMs":10000,"priority":1,"service":"s","maxAttempts":2,"public":true},
 {"name":"r-stream","hostname":"h.example","pathPrefix":"/stream/","routeKind":"streaming","timeoutMs":10000,"priority":1,"service":"s","maxAttempts":2},
 {"name":"r-resume","hostname":"h.example","pathPrefix":"/resume/","routeKind":"streaming","timeoutMs":10000,"priority":1,"service":"s","maxAttempts":2,"resumable":true},
 {"name":"r-public-batch","hostname":"h.example","pathPrefix":"/public-batch/","routeKind":"batch_processing","timeoutMs":4000,"targetLatencyMs":400,"completionTargetMs":12000,"retentionS":60,"priority":1,"service":"s","maxAttempts":2,"public":true},
 {"name":"r-batch","hostname":"h.example","pathPrefix":"/batch/","routeKind":"batch_processing","timeoutMs":4000,"targetLatencyMs":400,"completionTargetMs":12000,"retentionS":60,"priority":1,"service":"s","maxAttempts":2}],
"services":[{"name":"s","healthPath":"/health","connectionLimit":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":0},{"name":"t2","apiKeys":["k3"]}]}`

func testSnapshot(t testing.TB) *configuration.Snapshot {
	t.Helper()
	return compile(t, testDocument)
}

func compile(t testing.TB, text string) *configuration.Snapshot {
	t.Helper()
	document, err := configuration.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := configuration.Compile(document)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// received is a request that a backend has read.
type received struct {
	*http.Request
	body string
}

// backend is a server that gives the same reply to every request.
type backend struct {
	discovery.Backend
	requests chan received
	closed   chan struct{} // one value for each connection that the proxy has closed
	// leavesBody means that the backend responds without having read the body of a request.
	leavesBody bool
}

// reply writes the response to a request. It returns false if the backend shall close the connection.
type reply func(b *backend, r received, conn net.Conn) bool

// replyAndClose writes a text, in which ID stands for the attempt id of the request, and closes the connection.
func replyAndClose(replyText string) reply {
	return func(_ *backend, r received, conn net.Conn) bool {
		io.WriteString(conn, strings.ReplaceAll(replyText, "ID", r.Header.Get(forward.HeaderAttemptID)))
		return false
	}
}

// replyAndKeepOpen is like replyAndClose, but keeps the connection open.
func replyAndKeepOpen(replyText string) reply {
	return func(b *backend, r received, conn net.Conn) bool {
		replyAndClose(replyText)(b, r, conn)
		return true
	}
}

func responseText(status int, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nNickelline-Attempt-Id: ID\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

const (
	sealField        = "Nickelline-Response-Seal: " + testSeal + "\r\n"
	notExecutedField = "Nickelline-Not-Executed: 1\r\n"
	streamHead       = "HTTP/1.1 200 OK\r\nNickelline-Attempt-Id: ID\r\n" + sealField + streamFields
	otherHead        = "HTTP/1.1 200 OK\r\nNickelline-Attempt-Id: ID\r\nNickelline-Response-Seal: " + otherSeal + "\r\n" + streamFields
	streamFields     = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstEvent       = "id: 1\ndata: a\n\n"
	secondEvent      = "id: 2\ndata: b\n\n"
	thirdEvent       = "id: 3\ndata: c\n\n"
	partialEvent     = "id: 2\nda"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func okReply(body string) reply { return replyAndClose(responseText(200, sealField, body)) }

var backendNumber atomic.Int64

func startBackend(t testing.TB, respond reply) *backend {
	t.Helper()
	return (&backend{}).start(t, respond)
}

// start makes the backend listen.
func (b *backend) start(t testing.TB, respond reply) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	b.requests, b.closed = make(chan received, 100), make(chan struct{}, 100)
	b.ID, b.Service = fmt.Sprintf("i-%d", backendNumber.Add(1)), "s"
	b.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn, respond)
		}
	}()
	return b
}

func (b *backend) serve(conn net.Conn, respond reply) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			b.closed <- struct{}{}
			return
		}
		request := received{Request: r}
		if !b.leavesBody {
			body, _ := io.ReadAll(r.Body)
			request.body = string(body)
		}
		b.requests <- request
		if !respond(b, request, conn) {
			return
		}
	}
}

// ticket is a Ticket that records the outcome and the loads of an attempt.
type ticket struct {
	proxy   *testProxy
	started atomic.Int64
}

func (t *ticket) Started(time.Time) { t.started.Add(1) }

func (t *ticket) Report(_ time.Time, load admission.Load) {
	t.proxy.mutex.Lock()
	defer t.proxy.mutex.Unlock()
	t.proxy.loads = append(t.proxy.loads, load)
}

func (t *ticket) Done(_ time.Time, outcome admission.Outcome, load *admission.Load) {
	t.proxy.mutex.Lock()
	defer t.proxy.mutex.Unlock()
	t.proxy.outcomes = append(t.proxy.outcomes, outcome)
	if load != nil {
		t.proxy.loads = append(t.proxy.loads, *load)
	}
}

// testProxy is a proxy with its backends, which it tries in the order of the list.
type testProxy struct {
	*Proxy
	address   string
	readiness string
	backends  []*backend

	mutex             sync.Mutex
	admissionRequests []admission.Request
	outcomes          []admission.Outcome
	loads             []admission.Load
	proofAge          time.Duration
	snapshot          *configuration.Snapshot
	backendsUnknown   bool // whether the list of backends is unknown
}

func (s *testProxy) selectBackend(_ string, _ time.Time, r admission.Request) (discovery.Backend, Ticket, *admission.Refusal) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.admissionRequests = append(s.admissionRequests, r)
	for _, b := range s.backends {
		if r.Exclude == nil || !r.Exclude(b.ID) {
			return b.Backend, &ticket{proxy: s}, nil
		}
	}
	return discovery.Backend{}, nil, &admission.Refusal{RetryAfter: 300 * time.Millisecond}
}

// configuration returns the configuration of the test with its proof, nil if there is none.
func (s *testProxy) configuration() *configuration.Current {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.snapshot == nil {
		return nil
	}
	return &configuration.Current{Snapshot: s.snapshot, ProofAge: s.currentProofAge}
}

func (s *testProxy) currentProofAge() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.proofAge
}

func (s *testProxy) setProofAge(age time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.proofAge = age
}

func (s *testProxy) removeConfiguration() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.snapshot = nil
}

func (s *testProxy) setLimits(change func(*configuration.Limits)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changed := *s.snapshot
	change(&changed.Limits)
	s.snapshot = &changed
}

// setTenants replaces the tenants of the configuration by those of a JSON list.
func (s *testProxy) setTenants(t *testing.T, tenants string) {
	before, _, _ := strings.Cut(testDocument, `"tenants":`)
	changed := compile(t, before+`"tenants":`+tenants+"}")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.snapshot = changed
}

func listen(t testing.TB) *net.TCPListener {
	t.Helper()
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func startTestProxy(t testing.TB, change func(*Options), backends ...*backend) *testProxy {
	t.Helper()
	s := &testProxy{backends: backends, snapshot: testSnapshot(t)}
	client := forward.NewClient(forward.Options{MaxConnections: 100, ConnectTimeout: testTimeout})
	var list []discovery.Backend
	for _, b := range backends {
		list = append(list, b.Backend)
	}
	client.SetBackends(discovery.NewList(list))
	options := Options{
		Configuration: s.configuration,
		MaxProofAge:   time.Second,
		BackendsKnown: func() bool {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return !s.backendsUnknown
		},
		Selector:       SelectorFunc(s.selectBackend),
		Sender:         client,
		GracePeriod:    testTimeout,
		MaxConnections: 100,
		Log:            zap.NewNop(),
	}
	if change != nil {
		change(&options)
	}
	clients, readiness := listen(t), listen(t)
	s.address, s.readiness = clients.Addr().String(), readiness.Addr().String()
	s.Proxy = New(clients, readiness, options)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return s
}

// client is a client's connection to a proxy.
type client struct {
	*net.TCPConn
	reader *bufio.Reader
}

func (s *testProxy) connect(t testing.TB) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return &client{conn.(*net.TCPConn), bufio.NewReader(conn)}
}

// requestText returns the text of a POST request with the header fields that the proxy requires, and further ones.
func requestText(path, fields, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + testHost + "\r\nNickelline-Attempt-Id: " + testID +
		"\r\nAuthorization: Bearer " + testKey + "\r\n" + fields + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func (c *client) send(t testing.TB, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// clientResponse is a response that a client has read.
type clientResponse struct {
	*http.Response
	body string
	err  error // error of reading the body
}

func (c *client) read(t *testing.T) clientResponse {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	return clientResponse{response, string(body), err}
}

// expectClosed fails the test unless the server closes the connection without sending another byte.
func (c *client) expectClosed(t *testing.T) {
	t.Helper()
	rest, err := io.ReadAll(c.reader)
	var timeout net.Error
	if len(rest) > 0 || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("the connection is not closed: %q, %v", rest, err)
	}
}

// roundTrip sends a request on a new connection and returns the response.
func (s *testProxy) roundTrip(t *testing.T, text string) clientResponse {
	t.Helper()
	c := s.connect(t)
	c.send(t, text)
	return c.read(t)
}

func (s *testProxy) post(t *testing.T, path string) clientResponse {
	t.Helper()
	return s.roundTrip(t, requestText(path, "", "body"))
}

// requestCounts returns how many requests each backend has received.
func (s *testProxy) requestCounts() []int {
	var counts []int
	for _, b := range s.backends {
		counts = append(counts, len(b.requests))
	}
	return counts
}

func wait[T any](t *testing.T, from <-chan T, what string) T {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	select {
	case value := <-from:
		return value
	case <-ctx.Done():
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}
