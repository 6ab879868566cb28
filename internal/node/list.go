package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"nickelline/decide"
)

// backendList is a response of discovery: all backends if full, otherwise only those that changed.
type backendList struct {
	version uint64
	full    bool
	entries []entry
}

// entry is a backend in a list, with its name and address.
type entry struct {
	decide.Backend
	name, addr string
}

// stateNames maps the states on the wire to those of the module.
var stateNames = map[string]decide.BackendState{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

// maxStartMillis bounds the start time of a backend, in milliseconds since the Unix epoch, so that it fits the
// module's clock.
const maxStartMillis = 1 << 43

// listJSON is the JSON form of a list.
type listJSON struct {
	Version  *uint64     `json:"version"`
	Full     bool        `json:"full"`
	Backends []entryJSON `json:"servers"`
}

// entryJSON is the JSON form of an entry.
type entryJSON struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// decodeList decodes a list. It returns an error unless the whole list is valid.
func decodeList(raw []byte) (backendList, error) {
	var in listJSON
	if err := json.Unmarshal(raw, &in); err != nil {
		return backendList{}, fmt.Errorf("backend list: %w", err)
	}
	if in.Version == nil {
		return backendList{}, errors.New("backend list: version is missing")
	}
	decoded := backendList{version: *in.Version, full: in.Full}
	for i, backend := range in.Backends {
		e, err := backend.entry()
		if err != nil {
			return backendList{}, fmt.Errorf("backend list, entry %d: %w", i, err)
		}
		decoded.entries = append(decoded.entries, e)
	}
	return decoded, nil
}

// entry returns the entry, or an error if its ID, state or address is invalid.
func (e *entryJSON) entry() (entry, error) {
	state, known := stateNames[e.State]
	if !known || e.ID == "" {
		return entry{}, fmt.Errorf("id %q, state %q: want an id and a known state", e.ID, e.State)
	}
	if _, err := netip.ParseAddrPort(e.Addr); err != nil && state != decide.Gone {
		return entry{}, err
	}
	started := time.Duration(min(max(0, e.Started), maxStartMillis)) * time.Millisecond
	return entry{name: e.ID, addr: e.Addr, Backend: decide.Backend{
		ID:        backendID(e.ID),
		Zone:      e.Zone,
		Kind:      e.Kind,
		Cell:      e.Cell,
		State:     state,
		Size:      e.Weight,
		StartedAt: started,
	}}, nil
}
