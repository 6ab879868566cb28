package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// ServeRequests reads the requests of a connection, with their bodies, and calls respond for each of them, until respond returns false
// or a request cannot be read. Then it closes the connection. respond writes to the connection itself, so that it may send what
// net/http would not: broken, late or repeated responses.
func ServeRequests(conn net.Conn, respond func(r *http.Request) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !respond(r) {
			return
		}
	}
}
