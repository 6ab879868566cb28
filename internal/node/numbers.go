package node

import (
	"hash/fnv"
	"strconv"
	"strings"

	"nickelline/decide"
)

// backendID returns the module's ID for the name of a backend. Every node derives the same ID, because the module orders
// backends by ID. A name of the form "prefix-xxxxxxxx" with eight hex digits contains the ID; for any other name the
// ID is a hash.
func backendID(name string) decide.BackendID {
	if _, digits, ok := strings.Cut(name, "-"); ok && len(digits) == 8 {
		if v, err := strconv.ParseUint(digits, 16, 32); err == nil {
			return decide.BackendID(v)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return decide.BackendID(h.Sum32())
}

// backendIDTable assigns distinct IDs to backends whose names give the same ID: the one that is listed later gets the
// next free ID.
type backendIDTable struct {
	ids  map[string]decide.BackendID
	used map[decide.BackendID]bool
}

func newBackendIDTable() *backendIDTable {
	return &backendIDTable{ids: map[string]decide.BackendID{}, used: map[decide.BackendID]bool{}}
}

// assign sets the IDs in a list to those that this node uses. It releases the ID of a backend that is gone.
func (t *backendIDTable) assign(l backendList) {
	listed := map[string]bool{}
	for i := range l.entries {
		e := &l.entries[i]
		id, known := t.ids[e.name]
		if !known {
			for id = e.ID; t.used[id]; id++ {
			}
			t.ids[e.name], t.used[id] = id, true
		}
		e.ID, listed[e.name] = id, e.State != decide.Gone
	}
	for name, id := range t.ids {
		if present, mentioned := listed[name]; mentioned && !present || l.full && !mentioned {
			delete(t.ids, name)
			delete(t.used, id)
		}
	}
}
