package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// instance is an entry of the platform's list.
type instance struct {
	Identifier      string `json:"identifier"`
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	CapacitySlots   int    `json:"capacitySlots"`
	State           string `json:"state"`
	ColdRemainingMs int    `json:"coldRemainingMs"`
	PipelineStage   string `json:"pipelineStage"`
	Models          []any  `json:"models"`
}

// list is the platform's list of backends, on one page.
type list struct {
	server    *http.Server
	mutex     sync.Mutex
	instances []instance
}

func startList(address string, backends []*backend) (*list, error) {
	l := &list{}
	for _, b := range backends {
		l.instances = append(l.instances, instance{
			Identifier: b.identifier, Service: b.service, Address: b.address, Zone: b.zone, Version: "v1", CapacitySlots: b.slots, State: "ready",
			PipelineStage: "both", Models: []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		})
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	l.server = &http.Server{Handler: l, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

func (l *list) stop() { _ = l.server.Close() }

// ServeHTTP answers with all instances of the zone that the query names, if it names one.
func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	zone := r.URL.Query().Get("zone")
	listed := []instance{}
	for _, i := range l.instances {
		if zone == "" || i.Zone == zone {
			listed = append(listed, i)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": listed, "nextToken": nil})
}

// update changes the list.
func (l *list) update(change func([]instance) []instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.instances = change(l.instances)
}

// queuePerSlot is as on the small site: 288 places for 96 slots.
const queuePerSlot = 3

// backend is a stand-in of a backend that follows PROTOCOL.md.
type backend struct {
	rig        *rig
	identifier string
	service    string
	zone       string
	address    string
	slots      int
	server     *http.Server

	running chan struct{} // holds an element for each request that has a slot

	mutex   sync.Mutex
	waiting int // requests in the queue, which has queuePerSlot places for each slot
	serve   func(b *backend, w http.ResponseWriter, r *http.Request, body []byte)
	work    time.Duration // until the first event or the answer
	token   time.Duration // between events
	arrived map[string]int
	ran     map[string]int
	// lastArrival is when the last request arrived.
	lastArrival time.Time
}

// startBackend starts the backend with a number, which sets its address.
func (r *rig) startBackend(number int, service, zone string, slots int, work, token time.Duration) (*backend, error) {
	b := &backend{
		rig: r, identifier: fmt.Sprintf("i-%08x", number), service: service, zone: zone, address: r.backendAddress(number), slots: slots, running: make(chan struct{}, slots),
		work: work, token: token, arrived: map[string]int{}, ran: map[string]int{}, serve: answer,
	}
	listener, err := net.Listen("tcp4", b.address)
	if err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = b.server.Serve(listener) }()
	r.backends = append(r.backends, b)
	return b, nil
}

func (b *backend) stop() { _ = b.server.Close() }

func (b *backend) load() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(b.running), b.waiting, b.slots)
}

// setServe replaces how requests are served.
func (b *backend) setServe(serve func(*backend, http.ResponseWriter, *http.Request, []byte)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.serve = serve
}

// ServeHTTP takes a request if a slot is free, and refuses it otherwise.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Nickelline-Attempt-Id")
	if id != "" {
		w.Header().Set("Nickelline-Attempt-Id", id)
	}
	w.Header().Set("Nickelline-Server-Load", b.load())
	switch {
	case r.URL.Path == "/-/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"pipelineStage":"both","models":[{"name":"m","version":1,"adapters":[]}],"utilisation":false,"callSequence":0,"queued":0,"active":%d,"cacheUsed":0,"cacheCapacity":305000,"openHandles":0}`, len(b.running))
		return
	case r.URL.Path == "/health":
		w.Header().Set("Nickelline-Instance-Id", b.identifier)
		return
	case id == "":
		refuse(w, http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Nickelline-Expected-Instance"); expected != "" && expected != b.identifier {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mutex.Lock()
	b.arrived[id]++
	b.lastArrival = time.Now()
	serve := b.serve
	b.mutex.Unlock()
	if left, err := strconv.Atoi(r.Header.Get("Nickelline-Deadline-Remaining-Ms")); err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
		defer cancel()
		r = r.WithContext(ctx)
	}
	if !b.acquireSlot(r.Context()) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.running }()
	serve(b, w, r, body)
}

// acquireSlot takes a slot, or waits for one if the queue has a place. It reports whether it took one.
func (b *backend) acquireSlot(ctx context.Context) bool {
	b.mutex.Lock()
	if len(b.running) == b.slots && b.waiting >= queuePerSlot*b.slots {
		b.mutex.Unlock()
		return false
	}
	b.waiting++
	b.mutex.Unlock()
	defer func() {
		b.mutex.Lock()
		b.waiting--
		b.mutex.Unlock()
	}()
	select {
	case b.running <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Nickelline-Not-Executed", "1")
	w.WriteHeader(status)
}

// markRun records that a request runs here.
func (b *backend) markRun(r *http.Request) {
	id := r.Header.Get("Nickelline-Attempt-Id")
	b.mutex.Lock()
	b.ran[id]++
	b.mutex.Unlock()
	b.rig.logf("backend %s (%s) runs %s %s of tenant %q, last event %q", b.identifier, b.service, id, r.URL.RequestURI(),
		r.Header.Get("Nickelline-Tenant-Name"), r.Header.Get("Last-Event-Id"))
}

// runs returns how often a request ran here.
func (b *backend) runs(id string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ran[id]
}

// eventText is the data of an event; it is the same at each backend.
func eventText(id string, n int) string { return fmt.Sprintf("event %d of %s", n, id) }

// wholeText is the data of all events, separated by line feeds.
func wholeText(id string, events int) string {
	lines := make([]string, events)
	for i := range lines {
		lines[i] = eventText(id, i+1)
	}
	return strings.Join(lines, "\n")
}

// answer runs a request: a stream with an event for each output token if the request tells its tokens, else a short text.
func answer(b *backend, w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get("Nickelline-Attempt-Id")
	b.markRun(r)
	w.Header().Set("Nickelline-Response-Seal", b.identifier+"."+id)
	if !sleep(r, b.work) {
		return
	}
	usage := r.Header.Get("Nickelline-Token-Usage")
	if usage == "" {
		fmt.Fprintf(w, "%s %s %d bytes", r.Method, r.URL.RequestURI(), len(body))
		return
	}
	_, out, _ := strings.Cut(usage, ",")
	events, _ := strconv.Atoi(out)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for n := last + 1; n <= events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(id, n))
		if flusher.Flush() != nil {
			return
		}
		if n < events && !sleep(r, b.token) {
			return
		}
	}
}

// sleep waits, and reports false if the caller has left or the deadline has passed before.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
