// Package metrics serves the metrics of a process in the Prometheus text format. Metrics are collected when they are
// scraped: a source keeps plain counters, so that a request costs no more than an addition.
package metrics

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
)

const (
	contentType     = "text/plain; version=0.0.4; charset=utf-8"
	callTimeout     = 2 * time.Second
	shutdownTimeout = 100 * time.Millisecond
)

// Endpoint is the port and path at which metrics are served.
type Endpoint struct {
	Port uint16
	Path string
}

// ParseEndpoint parses an endpoint of the form "PORT/PATH".
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, found := strings.Cut(text, "/")
	number, err := strconv.ParseUint(port, 10, 16)
	if !found || err != nil || number == 0 || path == "" {
		return Endpoint{}, merry.Errorf("parse metrics endpoint: got %q, want PORT/PATH", text)
	}
	return Endpoint{Port: uint16(number), Path: "/" + path}, nil
}

// Label is a label of a metric.
type Label struct{ Name, Value string }

// Writer writes metrics in the Prometheus text format. The zero value is ready to use.
type Writer struct{ buffer bytes.Buffer }

// Counter writes a counter, a value that only increases.
func (w *Writer) Counter(name string, value uint64, labels ...Label) {
	metrics.WriteCounterUint64(&w.buffer, nameWithLabels(name, labels), value)
}

// Gauge writes a gauge, a value that can increase and decrease.
func (w *Writer) Gauge(name string, value float64, labels ...Label) {
	metrics.WriteGaugeFloat64(&w.buffer, nameWithLabels(name, labels), value)
}

// String returns what has been written.
func (w *Writer) String() string { return w.buffer.String() }

// nameWithLabels returns a metric name followed by its labels, as in name{label="value"}.
func nameWithLabels(name string, labels []Label) string {
	if len(labels) == 0 {
		return name
	}
	var text strings.Builder
	text.WriteString(name)
	for i, label := range labels {
		separator := byte(',')
		if i == 0 {
			separator = '{'
		}
		text.WriteByte(separator)
		text.WriteString(label.Name)
		text.WriteByte('=')
		text.WriteString(strconv.Quote(label.Value))
	}
	text.WriteByte('}')
	return text.String()
}

// Source writes the metrics of one component of the process. It is called while the component runs, so it has to
// synchronize its reads.
type Source func(w *Writer)

// Server serves the metrics of its sources and of the process over HTTP.
type Server struct {
	server  *server.Hertz
	mutex   sync.Mutex
	sources []Source
}

// Listen opens an endpoint at an address of the machine. The caller has to call Serve to answer requests.
func Listen(ip netip.Addr, endpoint Endpoint) (*Server, error) {
	address := net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, endpoint.Port))
	listener, err := net.ListenTCP("tcp4", address)
	if err != nil {
		return nil, merry.Prepend(err, "listen on metrics endpoint")
	}
	return newServer(listener, endpoint.Path), nil
}

func newServer(listener net.Listener, path string) *Server {
	hlog.SetLevel(hlog.LevelFatal)
	s := &Server{server: server.New(
		server.WithListener(listener),
		server.WithReadTimeout(callTimeout),
		server.WithWriteTimeout(callTimeout),
		server.WithIdleTimeout(callTimeout),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithDisablePrintRoute(true),
	)}
	s.server.GET(path, s.serveMetrics)
	return s
}

// Add adds a source. Its metrics follow those of the sources added before.
func (s *Server) Add(source Source) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sources = append(s.sources, source)
}

// Serve answers requests until Close is called.
func (s *Server) Serve() error { return s.server.Run() }

// Close stops the server, and waits at most shutdownTimeout for requests in progress.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = s.server.Shutdown(ctx)
}

func (s *Server) serveMetrics(_ context.Context, request *app.RequestContext) {
	s.mutex.Lock()
	sources := s.sources
	s.mutex.Unlock()
	var w Writer
	for _, source := range sources {
		source(&w)
	}
	metrics.WriteProcessMetrics(&w.buffer)
	request.Data(200, contentType, w.buffer.Bytes())
}
