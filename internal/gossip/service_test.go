package gossip

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/member"
	"nickelline/internal/peer"
)

// listen returns a transport that is not started yet, and is closed after the test.
func listen(t *testing.T) *peer.Transport {
	t.Helper()
	transport, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), zap.NewNop())
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(transport.Close)
	return transport
}

// expectProofOnlyOfConfiguration fails the test if the proof of the configuration is dated later than began, or if the
// service has a list of backends or a proof of one.
func expectProofOnlyOfConfiguration(t *testing.T, s *Service, began time.Time) {
	t.Helper()
	// The clock is read before the age, so that the age is at least the time since the proof was made.
	since := time.Since(began)
	if _, age, _ := s.CurrentWithProof(Configuration); age < since {
		t.Errorf("proof age of the configuration: got %v, want at least %v", age, since)
	}
	if _, present := s.Current(Backends); present {
		t.Error("list of backends, which was never published: got one, want none")
	}
	if _, age, _ := s.CurrentWithProof(Backends); age != UnknownAge {
		t.Errorf("proof age of the list of backends: got %v, want none", age)
	}
}

// A proof that is made after the periodic exchange reaches another member by an extra exchange.
func TestExchangeTransfersAProof(t *testing.T) {
	const longHeartbeat = time.Hour // no periodic exchanges other than those at the start
	var table atomic.Pointer[member.Table]
	table.Store(member.NewTable())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var services []*Service
	var members []member.Member
	for range 2 {
		transport := listen(t)
		self := member.Member{Role: ControlRole, Address: transport.Address()}
		s := New(self, table.Load, transport, longHeartbeat, zap.NewNop())
		transport.Start()
		s.Start(ctx)
		services = append(services, s)
		members = append(members, self)
	}
	reader, other := services[0], services[1]
	value := Value{Topic: Backends, Version: Version{Sequence: 1}, Data: []byte("list")}
	reader.Publish(value)
	// The second proof is a minute newer than the first, so that a pause of the process cannot hide the difference.
	for _, proofAge := range []time.Duration{time.Minute, 0} {
		began := time.Now().Add(-proofAge)
		reader.Certify(Backends, value.Version, began)
		_, before, _ := other.CurrentWithProof(Backends)
		if err := other.Exchange(ctx, members[0].Address); err != nil {
			t.Fatal(err)
		}
		since := time.Since(began)
		if _, age, _ := other.CurrentWithProof(Backends); age >= before || age < since {
			t.Errorf("proof age after the exchange: got %v, want less than %v and at least %v", age, before, since)
		}
	}
}

const serviceTimeout = 20 * time.Second

func TestServicesSpreadAValueAndItsProof(t *testing.T) {
	const count = 6
	var table atomic.Pointer[member.Table]
	var members []member.Member
	var transports []*peer.Transport
	for i := range count {
		transport := listen(t)
		role := "proxy"
		if i == 0 {
			role = ControlRole
		}
		members = append(members, member.Member{Name: fmt.Sprint(i), Role: role, Zone: fmt.Sprint(i % 2), Address: transport.Address()})
		transports = append(transports, transport)
	}
	table.Store(member.NewTable(members...))

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received := make(chan Value, count)
	var services []*Service
	for i, transport := range transports {
		s := New(members[i], table.Load, transport, 200*time.Millisecond, zap.NewNop())
		s.Subscribe(Configuration, func(v Value) { received <- v })
		transport.Start()
		s.Start(ctx)
		services = append(services, s)
	}
	value := Value{Topic: Configuration, Version: Version{Sequence: 3}, Data: bytes.Repeat([]byte("configuration "), 200_000)}
	began := time.Now()
	services[0].Publish(value)
	services[0].Certify(Configuration, value.Version, began)
	timeout := time.After(serviceTimeout)
	for range count {
		select {
		case v := <-received:
			if v.Version != value.Version || !bytes.Equal(v.Data, value.Data) {
				t.Fatalf("received: got version %v of %d bytes, want %v of %d bytes", v.Version, len(v.Data), value.Version, len(value.Data))
			}
		case <-timeout:
			t.Fatalf("not all of %d subscribers were called within %v", count, serviceTimeout)
		}
	}
	for _, s := range services {
		expectProofOnlyOfConfiguration(t, s, began)
	}
	late := 0
	services[0].Subscribe(Configuration, func(Value) { late++ })
	if late != 1 {
		t.Errorf("calls of a late subscriber: got %d, want 1", late)
	}
	services[0].Publish(Value{Topic: Configuration, Version: Version{Sequence: 2}})
	if current, _ := services[0].Current(Configuration); current.Version != value.Version || late != 1 {
		t.Errorf("after publishing an older version: got version %v and %d calls, want %v and 1", current.Version, late, value.Version)
	}
}

func TestSubscriberMayUseTheService(t *testing.T) {
	transport := listen(t)
	self := member.Member{Address: transport.Address()}
	s := New(self, func() *member.Table { return member.NewTable(self) }, transport, time.Second, zap.NewNop())
	var calls []uint64
	s.Subscribe(Backends, func(v Value) {
		calls = append(calls, v.Version.Sequence)
		if v.Version.Sequence < 3 {
			s.Publish(Value{Topic: Backends, Version: Version{Sequence: v.Version.Sequence + 1}})
		}
	})
	s.Publish(Value{Topic: Backends, Version: Version{Sequence: 1}})
	if want := []uint64{1, 2, 3}; !reflect.DeepEqual(calls, want) {
		t.Errorf("calls of the subscriber: got %v, want %v", calls, want)
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	summaries := []summary{
		{topic: Configuration, version: Version{Epoch: 1, Sequence: 2}, age: 5 * time.Second},
		{topic: Placement, version: Version{Sequence: math.MaxUint64}, age: UnknownAge},
	}
	updates := []update{
		{value: Value{Topic: Backends, Version: Version{Sequence: 4}, Data: bytes.Repeat([]byte("data"), 100)}},
		{value: Value{Topic: Placement, Version: Version{Epoch: 1, Sequence: 4}}, steps: []step{
			{from: Version{Sequence: 2}, to: Version{Epoch: 1, Sequence: 3}, difference: []byte("one")},
			{from: Version{Epoch: 1, Sequence: 3}, to: Version{Epoch: 1, Sequence: 4}, difference: []byte("two")},
		}},
	}
	p := &packer{}

	data, err := encodeAnnouncement(summaries)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeAnnouncement(data); err != nil || !reflect.DeepEqual(got, summaries) {
		t.Errorf("announcement: got %+v (%v), want %+v", got, err, summaries)
	}
	if data, err = encodeDigestRequest(summaries); err != nil {
		t.Fatal(err)
	}
	if got, err := decodeDigestRequest(data); err != nil || !reflect.DeepEqual(got, summaries) {
		t.Errorf("digest request: got %+v (%v), want %+v", got, err, summaries)
	}
	answer := digestAnswer{summaries: summaries, updates: updates}
	if data, err = answer.encode(p); err != nil {
		t.Fatal(err)
	}
	if got, err := decodeDigestAnswer(data); err != nil || !reflect.DeepEqual(got, answer) {
		t.Errorf("digest answer: got %+v (%v), want %+v", got, err, answer)
	}
	for _, u := range updates {
		fetch := fetchAnswer{update: u, age: time.Microsecond}
		if data, err = fetch.encode(p); err != nil {
			t.Fatal(err)
		}
		if got, err := decodeFetchAnswer(data); err != nil || !reflect.DeepEqual(got, fetch) {
			t.Errorf("fetch answer: got %+v (%v), want %+v", got, err, fetch)
		}
	}
	for _, request := range []fetchRequest{{topic: Placement}, {topic: Backends, base: &Version{Epoch: 3, Sequence: 9}}} {
		if data, err = encodeFetchRequest(request); err != nil {
			t.Fatal(err)
		}
		if got, err := decodeFetchRequest(data); err != nil || !reflect.DeepEqual(got, request) {
			t.Errorf("fetch request: got %+v (%v), want %+v", got, err, request)
		}
	}
	if data, err = encodeFetchRequest(fetchRequest{topic: topicCount}); err != nil {
		t.Fatal(err)
	}
	if _, err := decodeFetchRequest(data); err == nil {
		t.Error("decode of a request with an unknown topic: got no error, want one")
	}
}

func TestEncodedAgeIsNeverUnderstated(t *testing.T) {
	for _, age := range []time.Duration{0, 1, 999, 1000, 1001, time.Hour, UnknownAge - 1, UnknownAge} {
		if got := decodeAge(encodeAge(age)); got < age {
			t.Errorf("age %v after encoding and decoding: got %v, want at least %v", age, got, age)
		}
	}
}
