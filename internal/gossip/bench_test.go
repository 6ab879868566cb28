package gossip

import (
	"testing"
	"time"
)

// BenchmarkDigest measures one exchange of digests between members that have the same versions, including encoding and
// decoding of the messages.
func BenchmarkDigest(b *testing.B) {
	s := newSimulation(b, 1, 100)
	for topic := range topicCount {
		s.publish(s.nodes[0], topic, 1, 1000)
	}
	s.run(10*time.Second, nil)
	requester, partner := s.nodes[50].disseminator, s.nodes[0].disseminator
	p := &packer{}
	now := s.clock.Now()
	b.ReportAllocs()
	for b.Loop() {
		now += testHeartbeat
		for topic := range topicCount {
			partner.certify(topic, Version{Sequence: 1}, now)
		}
		requester.antiEntropy.inFlight = false
		requester.Advance(now)
		call := requester.Take(true).digest
		request, err := encodeDigestRequest(call.summaries)
		if err != nil {
			b.Fatal(err)
		}
		theirs, err := decodeDigestRequest(request)
		if err != nil {
			b.Fatal(err)
		}
		answer := partner.answerDigest(now, requester.self.Address, theirs)
		encoded, err := answer.encode(p)
		if err != nil {
			b.Fatal(err)
		}
		decoded, err := decodeDigestAnswer(encoded)
		if err != nil {
			b.Fatal(err)
		}
		partner.Take(true)
		requester.digestAnswered(now, now, call.to, &decoded)
	}
}
