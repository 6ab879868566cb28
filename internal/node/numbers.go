package node

import (
	"hash/fnv"
	"strconv"
	"strings"

	"nickelline/decide"
)

// backendID returns the module's number for a name, the same at every node: the module's order of backends depends on it.
// Names that end in eight hex digits hold the number; of others it is a hash.
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

// backendNumbers keeps apart backends whose names give one number: the one that is listed later gets the next free one.
type backendNumbers struct {
	ids  map[string]decide.BackendID
	used map[decide.BackendID]bool
}

func newBackendNumbers() *backendNumbers {
	return &backendNumbers{ids: map[string]decide.BackendID{}, used: map[decide.BackendID]bool{}}
}

// assign puts the numbers that this node uses into a list. A name that is gone gives its number back.
func (n *backendNumbers) assign(l list) {
	listed := map[string]bool{}
	for i := range l.entries {
		e := &l.entries[i]
		id, known := n.ids[e.name]
		if !known {
			for id = e.ID; n.used[id]; id++ {
			}
			n.ids[e.name], n.used[id] = id, true
		}
		e.ID, listed[e.name] = id, e.State != decide.Gone
	}
	for name, id := range n.ids {
		if present, mentioned := listed[name]; mentioned && !present || l.full && !mentioned {
			delete(n.ids, name)
			delete(n.used, id)
		}
	}
}
