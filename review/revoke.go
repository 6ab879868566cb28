package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const revokedKey = "s989anu6wsjnbanfqasn"

// keptConn is a client's connection that has carried a request before.
type keptConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// exchange sends a request on the connection and reads the answer.
func (k *keptConn) exchange(attempt, apiKey string, deadline time.Duration) (sent time.Time, status int, err error) {
	text := fmt.Sprintf("POST /cards/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nNickelline-Attempt-Id: %s\r\nNickelline-Deadline-Remaining-Ms: %d\r\nContent-Length: 4\r\n\r\ncard",
		host, apiKey, attempt, deadline.Milliseconds())
	_ = k.conn.SetDeadline(time.Now().Add(deadline))
	sent = time.Now()
	if _, err := io.WriteString(k.conn, text); err != nil {
		return sent, 0, err
	}
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return sent, 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return sent, response.StatusCode, err
}

// revocation is what the rounds of the case share.
type revocation struct {
	*world
	ran     runs
	version int
	keys    []string // of the tenant, before the first round: one for each round, and one that stays
}

const (
	revokeRounds  = 8
	revokeClients = 150
	revokeRoutes  = 4000                    // besides those of configuration: a body of some 0.9 MB, of 4 MB that the site allows
	freeze        = 4995 * time.Millisecond // below the 5 s of node_freeze in the list of kinds
	revocationMs  = 5000 * time.Millisecond // the bound revocationMs
)

// tenant is the operator's entry of the tenant with the keys that are left in a round.
func (v *revocation) tenant(round int) map[string]any {
	var left []any
	for _, k := range v.keys[round:] {
		left = append(left, k)
	}
	return map[string]any{"name": "huka270", "apiKeys": left, "priority": 1, "ratePerS": 4000, "burstSize": 4000}
}

// connect opens kept connections, each of which carries one request.
func (v *revocation) connect(round int) ([]*keptConn, error) {
	conns := make([]*keptConn, revokeClients)
	for i := range conns {
		conn, err := net.Dial("tcp4", v.frontend(4))
		if err != nil {
			return nil, err
		}
		conns[i] = &keptConn{conn: conn, reader: bufio.NewReader(conn)}
		if _, status, err := conns[i].exchange(fmt.Sprintf("aa%02x%012x", round, i), v.keys[round], 2*time.Second); err != nil || status != 200 {
			return nil, fmt.Errorf("first request of client %d: %d %v", i, status, err)
		}
	}
	return conns, nil
}

// round takes away a key while a proxy stands still. It returns how many requests with that key, sent later than the bound
// after the acknowledgement, ran.
func (v *revocation) round(round int, trouble bool) (int, error) {
	conns, err := v.connect(round)
	if err != nil {
		return 0, err
	}
	stopped := make(chan time.Time, 1)
	go func() {
		time.Sleep(time.Duration(20+4*round) * time.Millisecond)
		if trouble {
			v.signal("proxy-4", syscall.SIGSTOP)
		}
		stopped <- time.Now()
	}()
	patch := map[string]any{"version": v.version + 2, "upsert": map[string]any{"tenants": []any{v.tenant(round + 1)}}}
	status, err := v.order(http.MethodPatch, "/-/configuration", v.version, patch, 5*time.Second)
	acknowledged := time.Now()
	if err != nil || status != 200 {
		return 0, fmt.Errorf("the key was not taken away: %d %v", status, err)
	}
	v.version += 2
	began := <-stopped
	time.Sleep(time.Until(began.Add(freeze)))
	if trouble {
		v.signal("proxy-4", syscall.SIGCONT)
	}
	woken := time.Now()
	bound := acknowledged.Add(revocationMs)
	v.record.add("round %d: the key %s was taken away; proxy-4 stood still from %.1f ms after the acknowledgement, for %.1f ms", round, v.keys[round],
		began.Sub(acknowledged).Seconds()*1e3, woken.Sub(began).Seconds()*1e3)
	start := bound
	if woken.After(start) {
		start = woken
	}
	var wait sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[int]int{}
	late := 0
	for i, k := range conns {
		wait.Go(func() {
			defer k.conn.Close()
			time.Sleep(time.Until(start.Add(time.Millisecond + time.Duration(i)*500*time.Microsecond)))
			attempt := fmt.Sprintf("bb%02x%012x", round, i)
			sent, status, err := k.exchange(attempt, v.keys[round], 2*time.Second)
			n := v.ran.of(attempt)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[status]++
			if len(n) > 0 && sent.After(bound) {
				late++
				v.record.add("request %s with the key %s, sent %.1f ms after the acknowledgement: answer %d %v, run by %v", attempt, v.keys[round],
					sent.Sub(acknowledged).Seconds()*1e3, status, err, n)
			}
		})
	}
	wait.Wait()
	v.record.add("round %d: answers by status %v; %d requests ran though sent later than %v after the acknowledgement", round, statuses, late, revocationMs)
	return late, nil
}

// revoke: keys are taken away while a proxy stands still; clients go on with such a key as it wakes.
func revoke(r *record, trouble bool) (bool, error) {
	v := &revocation{version: 3}
	for i := range revokeRounds + 1 {
		v.keys = append(v.keys, fmt.Sprintf("s989anu6wsjnbanfqa%02d", i))
	}
	w, err := newWorld(r, func(e *exchange) bool {
		if _, err := io.Copy(io.Discard, e.request.Body); err != nil {
			return false
		}
		v.ran.add(e.attempt, e.backend.identifier)
		e.answer(200, e.sealed(), "card")
		return true
	})
	if err != nil {
		return false, err
	}
	v.world = w
	defer w.stopAll()
	w.extra = []string{"proxy-4"}
	document := configuration(v.version)
	document["tenants"] = []any{v.tenant(0)}
	routes := document["routes"].([]any)
	for i := range revokeRoutes {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r-idle%05d", i), "hostname": host, "pathPrefix": fmt.Sprintf("/idle%05d/", i),
			"routeKind": "idempotent", "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2, "service": "cards", "maxAttempts": 2, "public": false})
	}
	document["routes"] = routes
	if err := w.openWith(document, 4); err != nil {
		return false, err
	}
	total := 0
	for round := range revokeRounds {
		late, err := v.round(round, trouble)
		if err != nil {
			return false, err
		}
		total += late
		time.Sleep(time.Second)
	}
	return total > 0, nil
}
