package discovery

import "slices"

// List holds the backends of one complete listing. It is immutable.
type List struct {
	backends  []Backend
	pages     int // number of calls of the poll, 0 if unknown
	byID      map[string]int
	byService map[string][]Backend
}

// NewList returns a list of the given backends and takes ownership of the slice. Of entries with the same ID, Get and
// ByService return only the last.
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

// All returns all listed backends, including draining ones. The caller must not change the slice.
func (l *List) All() []Backend { return l.backends }

// ByService returns the backends of a service that are not draining. The caller must not change the slice.
func (l *List) ByService(service string) []Backend { return l.byService[service] }

// Get returns the backend with the given ID, draining or not, and whether it is listed.
func (l *List) Get(id string) (Backend, bool) {
	i, ok := l.byID[id]
	if !ok {
		return Backend{}, false
	}
	return l.backends[i], true
}

// withDraining returns a copy of the list in which the backends that are draining in the given page are marked as
// draining, and true. If that changes no entry, it returns nil and false.
func (l *List) withDraining(page []Backend) (*List, bool) {
	var backends []Backend
	for i := range page {
		at, listed := l.byID[page[i].ID]
		if !page[i].Draining || !listed || l.backends[at].Draining {
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

// Len returns the number of entries, including draining ones.
func (l *List) Len() int { return len(l.backends) }
