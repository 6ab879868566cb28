package gossip

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"nickelline/internal/member"
	"nickelline/internal/simnet"
)

const (
	testHeartbeat   = 1200 * time.Millisecond
	simulatedZones  = 4
	controlsPerZone = 2
	digestTimeout   = time.Second
)

// simulation runs state machines over a simulated network in simulated time. Only updateTable changes the list of
// members.
type simulation struct {
	t      testing.TB
	random *rand.Rand
	clock  simnet.Clock
	nodes  []*simulatedNode
	byAddr map[netip.AddrPort]*simulatedNode
	table  *member.Table

	datagramLossRate float64 // of datagrams
	callFailureRate  float64 // share of calls that get no answer
	maxLatency       time.Duration
	// check is called after each event of a node.
	check func(n *simulatedNode)

	// published holds the data of the versions that publish created.
	published map[Topic]map[Version][]byte

	datagrams, digests, fetches int
	// updateBytes is the number of bytes of values and differences that members have sent each other.
	updateBytes int
}

type simulatedNode struct {
	self         member.Member
	disseminator *disseminator
	process      simnet.Process
	timer        time.Duration
	values       [topicCount]Version // the newest with which subscribers were called
}

// newSimulation creates nodes in several zones. The first nodes of each zone are control processes.
func newSimulation(t testing.TB, seed uint64, size int) *simulation {
	s := &simulation{
		t:          t,
		random:     rand.New(rand.NewPCG(seed, uint64(size))),
		byAddr:     make(map[netip.AddrPort]*simulatedNode),
		maxLatency: 10 * time.Millisecond,
		published:  make(map[Topic]map[Version][]byte),
	}
	members := make([]member.Member, size)
	for i := range members {
		role := "proxy"
		if i < simulatedZones*controlsPerZone {
			role = ControlRole
		}
		members[i] = member.Member{
			Name:    fmt.Sprint("node ", i),
			Role:    role,
			Zone:    fmt.Sprint("zone ", i%simulatedZones),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7660),
		}
	}
	s.table = member.NewTable(members...)
	for i := range members {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		n := &simulatedNode{self: members[i]}
		n.disseminator = newDisseminator(n.self, func() *member.Table { return s.table }, testHeartbeat, random, 0)
		s.nodes = append(s.nodes, n)
		s.byAddr[n.self.Address] = n
	}
	for _, n := range s.nodes {
		s.deliver(n, func() { n.disseminator.Advance(s.clock.Now()) })
	}
	return s
}

// updateTable removes the nodes that are down from the list of members.
func (s *simulation) updateTable() {
	var members []member.Member
	for _, n := range s.nodes {
		if !n.process.Stopped() {
			members = append(members, n.self)
		}
	}
	s.table = member.NewTable(members...)
}

func (s *simulation) controls() []*simulatedNode { return s.nodes[:simulatedZones*controlsPerZone] }

func (s *simulation) latency() time.Duration {
	return time.Millisecond + time.Duration(s.random.Int64N(int64(s.maxLatency)))
}

// deliver passes an event to a node and performs its output, after the thaw if the node is frozen.
func (s *simulation) deliver(n *simulatedNode, event func()) {
	n.process.Do(func() {
		event()
		s.perform(n)
	})
}

func (s *simulation) perform(n *simulatedNode) {
	out := n.disseminator.Take(true)
	for _, v := range out.values {
		if !v.Version.newerThan(n.values[v.Topic]) {
			s.t.Errorf("%s: subscribers called with %v after %v", n.self.Name, v.Version, n.values[v.Topic])
		}
		n.values[v.Topic] = v.Version
		if data, known := s.published[v.Topic][v.Version]; known && !bytes.Equal(data, v.Data) {
			s.t.Errorf("%s: subscribers called with other data of version %v than was published", n.self.Name, v.Version)
		}
	}
	for _, a := range out.announcements {
		s.announce(n, a)
	}
	if out.digest != nil {
		s.digest(n, *out.digest)
	}
	for _, f := range out.fetches {
		s.fetch(n, f)
	}
	if s.check != nil {
		s.check(n)
	}
	s.schedule(n)
}

func (s *simulation) schedule(n *simulatedNode) {
	due := max(n.disseminator.Next(), s.clock.Now())
	if due == never || n.timer == due {
		return
	}
	n.timer = due
	s.clock.At(due, func() {
		if n.timer != due {
			return
		}
		s.deliver(n, func() {
			n.timer = 0
			n.disseminator.Advance(s.clock.Now())
		})
	})
}

func (s *simulation) announce(n *simulatedNode, a announcement) {
	for _, address := range a.to {
		s.datagrams++
		if s.random.Float64() < s.datagramLossRate {
			continue
		}
		to := s.byAddr[address]
		s.clock.At(s.clock.Now()+s.latency(), func() {
			s.deliver(to, func() { to.disseminator.receiveAnnouncement(s.clock.Now(), n.self.Address, a.summaries) })
		})
	}
}

// call simulates a request and its answer. The node handles the answer, or the failure if the request times out first.
func (s *simulation) call(n *simulatedNode, address netip.AddrPort, timeout time.Duration, serve func(to *simulatedNode) (answered func()), failed func()) {
	to := s.byAddr[address]
	ended := false
	end := func(then func()) {
		if !ended {
			ended = true
			s.deliver(n, then)
		}
	}
	s.clock.At(s.clock.Now()+timeout, func() { end(failed) })
	if s.random.Float64() < s.callFailureRate {
		return
	}
	s.clock.At(s.clock.Now()+s.latency(), func() {
		s.deliver(to, func() {
			answered := serve(to)
			s.clock.At(s.clock.Now()+s.latency(), func() { end(answered) })
		})
	})
}

func (s *simulation) digest(n *simulatedNode, d digestCall) {
	s.digests++
	sentAt := s.clock.Now()
	serve := func(to *simulatedNode) func() {
		answer := to.disseminator.answerDigest(s.clock.Now(), n.self.Address, d.summaries)
		for i := range answer.updates {
			s.updateBytes += answer.updates[i].bytes()
		}
		return func() { n.disseminator.digestAnswered(s.clock.Now(), sentAt, d.to, &answer) }
	}
	s.call(n, d.to, digestTimeout, serve, func() { n.disseminator.digestFailed(s.clock.Now()) })
}

func (s *simulation) fetch(n *simulatedNode, f fetchCall) {
	s.fetches++
	requestedAt := s.clock.Now()
	serve := func(to *simulatedNode) func() {
		answer, present := to.disseminator.answerFetch(s.clock.Now(), f.request)
		s.updateBytes += answer.update.bytes()
		return func() {
			if !present {
				n.disseminator.fetchFailed(s.clock.Now(), f.request.topic)
				return
			}
			n.disseminator.fetchAnswered(s.clock.Now(), requestedAt, &answer)
		}
	}
	s.call(n, f.to, fetchTimeout, serve, func() { n.disseminator.fetchFailed(s.clock.Now(), f.request.topic) })
}

func (s *simulation) thaw(n *simulatedNode) {
	n.process.Thaw()
	s.deliver(n, func() { n.disseminator.Advance(s.clock.Now()) })
}

// run handles events until the given time, or until done returns true if it is not nil.
func (s *simulation) run(until time.Duration, done func() bool) {
	s.clock.RunUntilDone(until, func() bool { return done != nil && done() })
}

// publish publishes a version at a node.
func (s *simulation) publish(n *simulatedNode, topic Topic, sequence uint64, size int) {
	v := Value{Topic: topic, Version: Version{Sequence: sequence}, Data: versionData(sequence, size)}
	if s.published[topic] == nil {
		s.published[topic] = make(map[Version][]byte)
	}
	s.published[topic][v.Version] = v.Data
	s.deliver(n, func() {
		var steps []step
		if e := &n.disseminator.entries[topic]; e.present {
			steps = stepsBetween(e.value, v)
		}
		n.disseminator.publish(s.clock.Now(), v, steps)
	})
}

// versionData returns the data of a version, which differs from that of any other version in a few places.
func versionData(sequence uint64, size int) []byte {
	const entry = 50
	data := make([]byte, 0, size+entry)
	for i := 0; len(data) < size; i++ {
		number := uint64(0)
		if i%200 == 3 {
			number = sequence
		}
		data = fmt.Appendf(data, "entry %016x: %d\n", uint64(i)*0x9e3779b97f4a7c15, number)
	}
	return data[:size]
}

// nodesWithVersion returns the number of running nodes that have the version.
func (s *simulation) nodesWithVersion(topic Topic, sequence uint64) int {
	count := 0
	for _, n := range s.nodes {
		e := &n.disseminator.entries[topic]
		if n.process.Running() && e.present && e.value.Version.Sequence == sequence {
			count++
		}
	}
	return count
}
