package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"nickelline/decide"
)

// list is an answer of discovery: all backends if full, else those that changed.
type list struct {
	version uint64
	full    bool
	entries []entry
}

// entry is a backend in a list, with its name and address.
type entry struct {
	decide.Backend
	name, addr string
}

var stateNames = map[string]decide.BackendState{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

// maxStartMillis is the latest start of a backend, in milliseconds, that fits the module's clock.
const maxStartMillis = 1 << 43

// listJSON is a list on the wire.
type listJSON struct {
	Version  *uint64     `json:"version"`
	Full     bool        `json:"full"`
	Backends []entryJSON `json:"servers"`
}

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

// decodeList decodes a list. It returns an error unless all of the list is valid.
func decodeList(raw []byte) (list, error) {
	var in listJSON
	if err := json.Unmarshal(raw, &in); err != nil {
		return list{}, fmt.Errorf("list: %w", err)
	}
	if in.Version == nil {
		return list{}, errors.New("list: version is missing")
	}
	decoded := list{version: *in.Version, full: in.Full}
	for i, backend := range in.Backends {
		e, err := backend.entry()
		if err != nil {
			return list{}, fmt.Errorf("list, entry %d: %w", i, err)
		}
		decoded.entries = append(decoded.entries, e)
	}
	return decoded, nil
}

func (e *entryJSON) entry() (entry, error) {
	state, known := stateNames[e.State]
	if !known || e.ID == "" {
		return entry{}, fmt.Errorf("id %q, unknown state %q", e.ID, e.State)
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
