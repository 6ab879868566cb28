package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	listPath        = "/instances"
	pageTokenPrefix = "p-" // prefix of page tokens, which is followed by the position of the first instance
)

// States of an instance.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Instance is one backend in the platform's list.
type Instance struct {
	Identifier      string `json:"identifier"`
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	CapacitySlots   int    `json:"capacitySlots"`
	State           string `json:"state"`
	ColdRemainingMs int    `json:"coldRemainingMs"`
}

// Page is one page of the list. NextToken is null on the last page.
type Page struct {
	Instances []Instance `json:"instances"`
	NextToken *string    `json:"nextToken"`
}

// List is an HTTP handler that serves the platform's list of backends, with a limit of calls per second (a token bucket).
type List struct {
	pageSize       int
	callsPerSecond float64

	mutex          sync.Mutex
	instances      []Instance
	availableCalls float64 // fill level of the token bucket
	refilledAt     time.Time
}

// NewList returns a list of backends in the ready state. If callsPerSecond is zero, calls are not limited.
func NewList(pageSize int, callsPerSecond float64, backends ...*Backend) *List {
	l := &List{pageSize: pageSize, callsPerSecond: callsPerSecond, availableCalls: callsPerSecond, refilledAt: time.Now()}
	for _, b := range backends {
		l.instances = append(l.instances, Instance{
			Identifier:    b.options.Identifier,
			Service:       b.options.Service,
			Address:       b.options.Address.String(),
			Zone:          b.options.Zone,
			Version:       "v1",
			CapacitySlots: b.options.Slots,
			State:         StateReady,
		})
	}
	return l
}

// SetState changes the state of a backend.
func (l *List) SetState(identifier, state string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i := range l.instances {
		if l.instances[i].Identifier == identifier {
			l.instances[i].State = state
		}
	}
}

// ServeHTTP responds to a request for a page of the list.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != listPath {
		http.NotFound(w, r)
		return
	}
	if !l.allow(time.Now()) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	query := r.URL.Query()
	from := 0
	if token := query.Get("pageToken"); token != "" {
		number, isToken := strings.CutPrefix(token, pageTokenPrefix)
		n, err := strconv.Atoi(number)
		if !isToken || err != nil || n < 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		from = n
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.page(query.Get("zone"), from))
}

// allow reports whether the rate limit admits a call, and counts the call if so.
func (l *List) allow(now time.Time) bool {
	if l.callsPerSecond <= 0 {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.availableCalls = min(l.callsPerSecond, l.availableCalls+l.callsPerSecond*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.availableCalls < 1 {
		return false
	}
	l.availableCalls--
	return true
}

// page returns a page of the instances of a zone, or of all zones if zone is empty, starting at a position.
func (l *List) page(zone string, from int) Page {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	matching := []Instance{}
	for _, instance := range l.instances {
		if zone == "" || instance.Zone == zone {
			matching = append(matching, instance)
		}
	}
	from = min(from, len(matching))
	end := min(from+l.pageSize, len(matching))
	page := Page{Instances: matching[from:end]}
	if end < len(matching) {
		next := pageTokenPrefix + strconv.Itoa(end)
		page.NextToken = &next
	}
	return page
}
