package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"nickelline/decide"
)

var listKinds = map[string]decide.ListKind{
	"D": decide.ListChanges,
	"F": decide.ListFull,
	"C": decide.ListCached,
	"X": decide.ListFailed,
}

var stateNames = map[string]decide.BackendState{
	"ready":    decide.Ready,
	"draining": decide.Draining,
	"gone":     decide.Gone,
}

type backendJSON struct {
	Backend   *uint32 `json:"backend"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"model"`
	Cell      int     `json:"pod"`
	State     string  `json:"state"`
	Size      float64 `json:"nominal"`
	StartedAt int64   `json:"ready_at_ns"`
}

func decodeList(raw json.RawMessage) (decide.Event, error) {
	var in struct {
		Kind    string        `json:"how"`
		Version uint64        `json:"version"`
		Entries []backendJSON `json:"items"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	kind, known := listKinds[in.Kind]
	if !known {
		return nil, fmt.Errorf("unknown how %q", in.Kind)
	}
	list := decide.ListUpdate{Kind: kind, Version: in.Version}
	for i, entry := range in.Entries {
		backend, err := entry.backend()
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", i, err)
		}
		list.Entries = append(list.Entries, backend)
	}
	return list, nil
}

func (b *backendJSON) backend() (decide.Backend, error) {
	if b.Backend == nil {
		return decide.Backend{}, missingFieldError("backend")
	}
	state, known := stateNames[b.State]
	if !known {
		return decide.Backend{}, fmt.Errorf("unknown state %q", b.State)
	}
	return decide.Backend{
		ID:        decide.BackendID(*b.Backend),
		Zone:      b.Zone,
		Kind:      b.Kind,
		Cell:      b.Cell,
		State:     state,
		Size:      b.Size,
		StartedAt: time.Duration(b.StartedAt),
	}, nil
}
