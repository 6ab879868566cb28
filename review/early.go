package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	host = "ficu95.example"
	key  = "2b9wu3fexd9dnn2ctnfz"
)

// configuration is the operator's document: cards and orders at one service, streams and batch jobs at another.
func configuration(version int) map[string]any {
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "hostname": host, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 5000,
			"targetLatencyMs": 400, "priority": 0, "service": service, "maxAttempts": 3, "public": false}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-card", "/cards/", "idempotent", "cards", nil),
			route("r-order", "/orders/", "non_idempotent", "cards", nil),
			route("r-chat", "/chat/", "streaming", "writer", map[string]any{"maxAttempts": 1, "sessionAffinity": true, "resumable": false, "gap_aim_ms": 150}),
			route("r-recap", "/recap/", "streaming", "writer", map[string]any{"maxAttempts": 2, "sessionAffinity": true, "resumable": true, "gap_aim_ms": 150}),
			route("r-lots", "/lots/", "batch_processing", "writer", map[string]any{"timeoutMs": 10000, "maxQueuedTokens": 720000,
				"completionTargetMs": 12000, "retentionS": 40, "resumable": true, "gap_aim_ms": 150, "priority": 2, "sessionAffinity": true}),
		},
		"services": []any{
			map[string]any{"name": "cards", "healthPath": "/health", "connectionLimit": 120, "protocol": "h1", "transportSecurity": false},
			map[string]any{"name": "writer", "healthPath": "/health", "connectionLimit": 510, "protocol": "h1", "transportSecurity": false,
				"inferenceEngine": map[string]any{"capacitySlots": 96, "cacheTokenCapacity": 305000, "tokenSizeBytes": 131072, "linkMbps": 700000.0, "stride": 11, "models": []any{map[string]any{"name": "m"}}}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []any{key}, "priority": 1, "ratePerS": 400, "burstSize": 400}},
	}
}

// runs counts the backends that have begun work on each attempt.
type runs struct {
	mutex sync.Mutex
	at    map[string][]string
}

func (r *runs) add(attempt, backend string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.at == nil {
		r.at = map[string][]string{}
	}
	r.at[attempt] = append(r.at[attempt], backend)
}

func (r *runs) of(attempt string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string(nil), r.at[attempt]...)
}

// world is a tier with its platform and backends.
type world struct {
	*tier
	platform *platform
	backends []*backend
}

// smallWindow is the receive window of a backend's connections: DEPLOY.md gives links small windows.
const smallWindow = 16 << 10

// newWorld opens a tier with three backends of the service cards and three of the service writer.
func newWorld(r *record, handle func(e *exchange) bool) (*world, error) {
	t, err := newTier(r)
	if err != nil {
		return nil, err
	}
	w := &world{tier: t, platform: &platform{}}
	for n := 1; n <= 6; n++ {
		b := &backend{identifier: fmt.Sprintf("i-%08x", n), service: "cards", zone: zones[(n-1)%3], address: t.backendAddr(n), slots: 6, window: smallWindow, record: r, handle: handle}
		if n > 3 {
			b.service, b.slots = "writer", 96
		}
		if err := b.serve(); err != nil {
			return nil, err
		}
		w.backends = append(w.backends, b)
		w.platform.instances = append(w.platform.instances, b.entry("ready"))
	}
	return w, w.platform.serve(t.listing())
}

// open starts the tier and gives it its first configuration.
func (w *world) open() error { return w.openWith(configuration(3), 3) }

// openWith starts the tier with a number of proxies and gives it its first configuration.
func (w *world) openWith(document any, proxies int) error {
	if err := w.startAll(); err != nil {
		return err
	}
	if status, err := w.order(http.MethodPut, "/-/configuration", 0, document, 30*time.Second); err != nil || status != 200 {
		return fmt.Errorf("first configuration: %d %v", status, err)
	}
	for n := 1; n <= proxies; n++ {
		if err := w.awaitReady(20*time.Second, n); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

func (w *world) send(machine int, method, path, attempt string, body []byte, deadline time.Duration) (int, http.Header, []byte, error) {
	request, _ := http.NewRequest(method, "http://"+w.frontend(machine)+path, bytes.NewReader(body))
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Nickelline-Attempt-Id", attempt)
	request.Header.Set("Nickelline-Deadline-Remaining-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := http.Client{Timeout: deadline + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, text, err
}

const (
	earlyOrders = 8
	orderBytes  = 4_190_000 // below maxBodyBytes of the configuration, 4,194,304
)

// early: backends answer orders before they have read the long bodies, and close.
func early(r *record, trouble bool) (bool, error) {
	var ran runs
	w, err := newWorld(r, func(e *exchange) bool {
		if !trouble {
			if _, err := io.Copy(io.Discard, e.request.Body); err != nil {
				return false
			}
		}
		ran.add(e.attempt, e.backend.identifier)
		status, body := 200, "the order is placed"
		if e.attempt[len(e.attempt)-1]%2 == 1 {
			status, body = 500, "the order is placed, its receipt failed"
		}
		r.add("backend %s runs order %s, answers %d", e.backend.identifier, e.attempt, status)
		if !trouble {
			e.answer(status, e.sealed(), body)
			return true
		}
		e.answer(status, e.sealed("Connection", "close"), body)
		time.Sleep(20 * time.Millisecond)
		return false
	})
	if err != nil {
		return false, err
	}
	defer w.stopAll()
	if err := w.open(); err != nil {
		return false, err
	}
	twice, promised := 0, 0
	body := bytes.Repeat([]byte{'x'}, orderBytes)
	for n := range earlyOrders {
		attempt := fmt.Sprintf("0ade%012x", n)
		status, header, text, err := w.send(1+n%3, http.MethodPost, "/orders/1", attempt, body, 4*time.Second)
		backends := ran.of(attempt)
		r.add("order %s of %d bytes: the client gets %d %q, seal %q, error %v; run by %v", attempt, len(body), status, text,
			header.Get("Nickelline-Response-Seal"), err, backends)
		if len(backends) > 1 {
			twice++
		}
		if len(backends) > 0 && (status == 503 || status == 429 || status == 408 || status == 421) {
			promised++
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.add("%d of %d orders ran at more than one backend; %d that ran were answered as not run", twice, earlyOrders, promised)
	return twice > 0, nil
}
