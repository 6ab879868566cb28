package control

// Numbers of orders that are remembered.
const (
	maximumAcceptedDigests = 4096
	maximumRefusedDigests  = 256
)

// orders remembers the digests of the latest orders, in the sequence in which they came.
type digestHistory struct {
	limit  int
	queue  []Digest
	member map[Digest]bool
}

func newDigestHistory(limit int) *digestHistory {
	return &digestHistory{limit: limit, member: map[Digest]bool{}}
}

func (o *digestHistory) has(d Digest) bool { return o.member[d] }

func (o *digestHistory) add(d Digest) {
	if o.member[d] {
		return
	}
	if len(o.queue) == o.limit {
		delete(o.member, o.queue[0])
		o.queue = o.queue[1:]
	}
	o.queue = append(o.queue, d)
	o.member[d] = true
}

func (o *digestHistory) restore(digests []Digest) {
	o.queue = nil
	o.member = make(map[Digest]bool, len(digests))
	for _, d := range digests {
		o.add(d)
	}
}
