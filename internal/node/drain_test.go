package node

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// endsWhen is a context that has ended for whoever asks for Done, once an answer is there.
type endsWhen struct {
	context.Context
	there func()
	over  chan struct{}
}

func (c *endsWhen) Done() <-chan struct{} { c.there(); return c.over }

// Of an answer and the client's going, both there, the answer is sent: select alone takes any.
func TestAnswerGoesFirst(t *testing.T) {
	t.Parallel()
	p := assemble(t, &Config{Settings: settings()}) // with no backend each request is refused
	over := make(chan struct{})
	close(over)
	for range 20 {
		text := message("read", "9.5", "")
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			t.Fatal(err)
		}
		ctx := context.WithValue(t.Context(), connKey{}, &clientConn{owner: p.door})
		w := httptest.NewRecorder()
		p.front.ServeHTTP(w, r.WithContext(&endsWhen{ctx, func() { p.in(func() {}) }, over}))
		if w.Code != 503 {
			t.Fatalf("status %d", w.Code)
		}
	}
}
