package decide

// A node that has just started asks some others for the sizes that hold under ordinary load. By itself it
// could only learn them from what it meets, and in a jam it would take the jam for ordinary load.

import (
	"encoding/binary"
	"math"
	"strings"
	"time"
)

const (
	// sizeRequestFanout is the number of nodes that are asked at once: some may be new themselves, or
	// unreachable.
	sizeRequestFanout = 3
	// maxSizeRequests is how often a node asks, unless it gets an answer.
	maxSizeRequests = 4
	// sizeRequestInterval is the time between two requests, jittered: longer than a message takes.
	sizeRequestInterval = 500 * time.Millisecond
	// minSizesAge: younger sizes are not sent, as they may be of an overload, as those of the asking node.
	minSizesAge = 10 * time.Second
	// maxAgeMillis bounds the age of sizes in a message, in milliseconds.
	maxAgeMillis = 1 << 31
	// sizesRequest is the whole message that asks for sizes; sizesAnswer begins the message that has them.
	sizesRequest = "?1"
	sizesAnswer  = "=1"
	// sizeBytes is the length of the age and of each size in a message.
	sizeBytes = 4
	// sizesHeaderLength is the length of what comes before the sizes of the classes.
	sizesHeaderLength = len(sizesAnswer) + 3*sizeBytes
	// maxMessage is the length in bytes of the longest message that nodes carry.
	maxMessage = 256
	// maxSharedSize is more than any size can be, in requests or seconds.
	maxSharedSize = 1e6
)

// requestSizes asks other nodes, chosen at random, until one has answered or enough have been asked.
func (m *Module) requestSizes() {
	if !m.settings.MayMessage || m.settings.Nodes < 2 || m.sizeRequests >= maxSizeRequests ||
		m.now < m.requestSizesAt {
		return
	}
	m.sizeRequests, m.requestSizesAt = m.sizeRequests+1, m.now+m.jitter(sizeRequestInterval)
	for range min(sizeRequestFanout, m.settings.Nodes-1) {
		to := int(m.random() * float64(m.settings.Nodes-1))
		if to >= m.settings.Self {
			to++
		}
		m.emit(SendMessage{To: to, Data: []byte(sizesRequest)})
	}
}

// receive takes a message from another node. Malformed ones are dropped.
func (m *Module) receive(e MessageReceived) {
	if string(e.Data) == sizesRequest {
		m.sendSizes(e.From)
		return
	}
	sizes, isAnswer := strings.CutPrefix(string(e.Data), sizesAnswer)
	if isAnswer && len(e.Data) == m.answerLength() {
		m.adoptSizes([]byte(sizes))
	}
}

// answerLength returns the length in bytes of a message with sizes.
func (m *Module) answerLength() int { return sizesHeaderLength + sizeBytes*len(m.classes) }

// sendSizes answers a node that has asked, if the sizes that this one knows are old enough to be of
// ordinary load.
func (m *Module) sendSizes(to int) {
	age := m.now - m.sizesKnownSince
	unknown := m.answers < 1/classGain && m.sizesKnownSince == m.startAt // neither learned nor received
	if !m.settings.MayMessage || age < minSizesAge || unknown || m.answerLength() > maxMessage {
		return
	}
	data := binary.LittleEndian.AppendUint32([]byte(sizesAnswer), uint32(min(age.Milliseconds(), maxAgeMillis)))
	for _, size := range m.sharedSizes() {
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(*size)))
	}
	m.emit(SendMessage{To: to, Data: data})
}

// adoptSizes takes the sizes of another node, if that has known them for longer than this one. By itself a
// node finds a lower size soon, and a higher one hardly ever.
func (m *Module) adoptSizes(data []byte) {
	age := time.Duration(binary.LittleEndian.Uint32(data)) * time.Millisecond
	if m.sizeRequests == 0 || age <= m.now-m.sizesKnownSince {
		return
	}
	var sizes []float64
	for data = data[sizeBytes:]; len(data) > 0; data = data[sizeBytes:] {
		size := float64(math.Float32frombits(binary.LittleEndian.Uint32(data)))
		if !(size >= 0 && size <= maxSharedSize) { // not a number either
			return
		}
		sizes = append(sizes, size)
	}
	m.sizesKnownSince, m.sizeRequests = m.now-age, maxSizeRequests
	for i, into := range m.sharedSizes() {
		if sizes[i] > 0 {
			*into = sizes[i]
		}
	}
}

// sharedSizes returns the sizes that nodes send each other, in the order of the message.
func (m *Module) sharedSizes() []*float64 {
	all := []*float64{&m.leastSaturation, &m.leastLatency}
	for _, c := range m.classOrder[:len(m.classes)] {
		all = append(all, &c.uncrowdedLatency)
	}
	return all
}
