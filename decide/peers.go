package decide

// A node that has just started asks some others for the estimates that hold under ordinary load. On its
// own it could learn them only from the traffic that it sees, and in an overload it would take that for
// ordinary load.

import (
	"encoding/binary"
	"math"
	"strings"
	"time"
)

const (
	// estimateRequestFanout is the number of nodes asked in one round: some may be new themselves, or
	// unreachable.
	estimateRequestFanout = 3
	// maxEstimateRequests is the number of rounds that a node makes without an answer.
	maxEstimateRequests = 4
	// estimateRequestInterval is the time between two rounds, jittered: longer than a message takes.
	estimateRequestInterval = 500 * time.Millisecond
	// minEstimatesAge is the age from which a node sends its estimates; younger ones may stem from an
	// overload, like those of the asking node.
	minEstimatesAge = 10 * time.Second
	// maxAgeMillis bounds the age of the estimates in a message, in milliseconds.
	maxAgeMillis = 1 << 31
	// estimatesRequest is the whole message that asks for estimates; estimatesAnswer is the prefix of
	// the message with them.
	estimatesRequest = "?1"
	estimatesAnswer  = "=1"
	// estimateBytes is the length of the age and of each estimate in a message.
	estimateBytes = 4
	// estimatesHeaderLength is the length of what precedes the estimates of the classes.
	estimatesHeaderLength = len(estimatesAnswer) + 3*estimateBytes
	// maxMessage is the length in bytes of the longest message between nodes.
	maxMessage = 256
	// maxEstimate is more than any estimate can be, in requests or seconds.
	maxEstimate = 1e6
)

// requestEstimates asks other nodes, chosen at random, until one has answered or all rounds are done.
func (m *Module) requestEstimates() {
	if !m.settings.MayMessage || m.settings.Nodes < 2 || m.estimateRequests >= maxEstimateRequests ||
		m.now < m.nextEstimateRequestAt {
		return
	}
	m.estimateRequests, m.nextEstimateRequestAt = m.estimateRequests+1, m.now+m.jitter(estimateRequestInterval)
	for range min(estimateRequestFanout, m.settings.Nodes-1) {
		to := int(m.random() * float64(m.settings.Nodes-1))
		if to >= m.settings.Self {
			to++
		}
		m.emit(SendMessage{To: to, Data: []byte(estimatesRequest)})
	}
}

// receive handles a message from another node. Malformed ones are dropped.
func (m *Module) receive(e MessageReceived) {
	if string(e.Data) == estimatesRequest {
		m.sendEstimates(e.From)
		return
	}
	estimates, isAnswer := strings.CutPrefix(string(e.Data), estimatesAnswer)
	if isAnswer && len(e.Data) == m.answerLength() {
		m.adoptEstimates([]byte(estimates))
	}
}

// answerLength returns the length in bytes of a message with estimates.
func (m *Module) answerLength() int { return estimatesHeaderLength + estimateBytes*len(m.classes) }

// sendEstimates answers a node that has asked, if this node's estimates are old enough to be of
// ordinary load.
func (m *Module) sendEstimates(to int) {
	age := m.now - m.estimatesKnownSince
	unknown := m.answers < 1/fleetGain && m.estimatesKnownSince == m.startAt // neither learned nor received
	if !m.settings.MayMessage || age < minEstimatesAge || unknown || m.answerLength() > maxMessage {
		return
	}
	data := binary.LittleEndian.AppendUint32([]byte(estimatesAnswer),
		uint32(min(age.Milliseconds(), maxAgeMillis)))
	for _, estimate := range m.sharedEstimates() {
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(*estimate)))
	}
	m.emit(SendMessage{To: to, Data: data})
}

// adoptEstimates takes over the estimates of another node if that node has known them for longer than
// this one has known its own. The estimates are minima: on its own, a node soon corrects one that is
// too high, but hardly ever one that is too low.
func (m *Module) adoptEstimates(data []byte) {
	age := time.Duration(binary.LittleEndian.Uint32(data)) * time.Millisecond
	if m.estimateRequests == 0 || age <= m.now-m.estimatesKnownSince {
		return
	}
	var estimates []float64
	for data = data[estimateBytes:]; len(data) > 0; data = data[estimateBytes:] {
		estimate := float64(math.Float32frombits(binary.LittleEndian.Uint32(data)))
		if !(estimate >= 0 && estimate <= maxEstimate) { // rejects NaN too
			return
		}
		estimates = append(estimates, estimate)
	}
	m.estimatesKnownSince, m.estimateRequests = m.now-age, maxEstimateRequests
	for i, into := range m.sharedEstimates() {
		if estimates[i] > 0 {
			*into = estimates[i]
		}
	}
}

// sharedEstimates returns the estimates that nodes send each other, in the order of the message.
func (m *Module) sharedEstimates() []*float64 {
	all := []*float64{&m.minSaturationInFlight, &m.minMeanLatency}
	for _, c := range m.classOrder[:len(m.classes)] {
		all = append(all, &c.baselineLatency)
	}
	return all
}
