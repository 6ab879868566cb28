package standin

import (
	"io"
	"net"
	"net/http"
)

// ServeRaw accepts connections until the listener is closed, and writes text as the response to each request on them. The text may be
// what net/http would not send.
func ServeRaw(listener net.Listener, text string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go ServeRequests(conn, func(*http.Request) bool {
			_, err := io.WriteString(conn, text)
			return err == nil
		})
	}
}
