package decide

// What nodes tell each other: a node that has just started asks some others for the sizes that hold in ordinary work. By
// itself it could only learn them from what it meets, and in a jam it would take the jam for that.

import (
	"encoding/binary"
	"math"
	"time"
)

const (
	askPeers   = 3                      // others that are asked at once: some may be new themselves, or cut off
	askTimes   = 4                      // so often, unless somebody has told
	askPause   = 500 * time.Millisecond // s; from one time to the next, jittered: longer than a message takes
	tellFrom   = 10 * time.Second       // s; younger knowledge is not told: it may be of a trouble, as one's own
	longestAge = 1 << 31                // ms
	asks       = "?1"
	tells      = "=1"
	tellHead   = len(tells) + 3*4 // then four bytes for each class
	mostTold   = 1e6              // requests or seconds; no size is larger
)

// askAround asks other nodes, chosen by chance, until one has told or enough have been asked.
func (m *Module) askAround() {
	if !m.set.MayMessage || m.set.Nodes < 2 || m.asked >= askTimes || m.now < m.askPeersAt {
		return
	}
	m.asked, m.askPeersAt = m.asked+1, m.now+m.jitter(askPause)
	for range min(askPeers, m.set.Nodes-1) {
		to := int(m.random() * float64(m.set.Nodes-1))
		if to >= m.set.Self {
			to++
		}
		m.do(SendMessage{To: to, Data: []byte(asks)})
	}
}

// heard takes a message from another node. What makes no sense is passed over.
func (m *Module) heard(e MessageReceived) {
	switch {
	case string(e.Data) == asks:
		m.tell(e.From)
	case len(e.Data) == tellHead+4*len(m.classes) && string(e.Data[:len(tells)]) == tells:
		m.adopt(e.Data[len(tells):])
	}
}

// tell answers a node that has asked, if what this one knows is old enough to be of ordinary work.
func (m *Module) tell(to int) {
	age := m.now - m.knownSince
	little := m.answers < 1/classGain && m.knownSince == m.startAt // of its own, and nothing that it was told
	if !m.set.MayMessage || age < tellFrom || little || tellHead+4*len(m.classes) > 256 {
		return
	}
	data := binary.LittleEndian.AppendUint32([]byte(tells), uint32(min(age.Milliseconds(), longestAge)))
	for _, s := range m.sizes() {
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(*s)))
	}
	m.do(SendMessage{To: to, Data: data})
}

// adopt takes what another node has told, if that has known it for longer than this one. Of itself a node finds a lower
// size soon, and a higher one hardly ever.
func (m *Module) adopt(data []byte) {
	age := time.Duration(binary.LittleEndian.Uint32(data)) * time.Millisecond
	if m.asked == 0 || age <= m.now-m.knownSince {
		return
	}
	var sizes []float64
	for data = data[4:]; len(data) > 0; data = data[4:] {
		s := float64(math.Float32frombits(binary.LittleEndian.Uint32(data)))
		if !(s >= 0 && s <= mostTold) { // not a number either
			return
		}
		sizes = append(sizes, s)
	}
	m.knownSince, m.asked = m.now-age, askTimes
	for i, into := range m.sizes() {
		if sizes[i] > 0 {
			*into = sizes[i]
		}
	}
}

// sizes are those that are told, in the order of the message.
func (m *Module) sizes() []*float64 {
	all := []*float64{&m.room, &m.least}
	for _, c := range m.order[:len(m.classes)] {
		all = append(all, &c.base)
	}
	return all
}
