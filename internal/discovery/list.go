package discovery

import "slices"

// List is the content of one complete listing. It is immutable.
type List struct {
	backends  []Backend
	pages     int // calls that the poll took, 0 if not known
	byID      map[string]int
	byService map[string][]Backend
}

// NewList returns a list of backends, which it keeps. Of entries with the same ID the last one counts.
func NewList(backends []Backend) *List {
	l := &List{
		backends:  backends,
		byID:      make(map[string]int, len(backends)),
		byService: make(map[string][]Backend),
	}
	for i, b := range backends {
		l.byID[b.ID] = i
	}
	for i, b := range backends {
		if b.Draining || l.byID[b.ID] != i {
			continue
		}
		l.byService[b.Service] = append(l.byService[b.Service], b)
	}
	return l
}

// All returns every listed backend, draining ones too. The caller must not change it.
func (l *List) All() []Backend { return l.backends }

// ByService returns the backends of a service that take requests. The caller must not change it.
func (l *List) ByService(service string) []Backend { return l.byService[service] }

// Get returns the backend with the ID of an incarnation, draining or not.
func (l *List) Get(id string) (Backend, bool) {
	i, ok := l.byID[id]
	if !ok {
		return Backend{}, false
	}
	return l.backends[i], true
}

// withDraining returns a copy of the list in which the backends that drain in the given page drain too. It reports
// whether any of them did not before.
func (l *List) withDraining(given []Backend) (*List, bool) {
	var backends []Backend
	for i := range given {
		at, listed := l.byID[given[i].ID]
		if !given[i].Draining || !listed || l.backends[at].Draining {
			continue
		}
		if backends == nil {
			backends = slices.Clone(l.backends)
		}
		backends[at].Draining = true
	}
	if backends == nil {
		return nil, false
	}
	drained := NewList(backends)
	drained.pages = l.pages
	return drained, true
}

// Len returns the number of entries.
func (l *List) Len() int { return len(l.backends) }
