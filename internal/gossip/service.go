package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/driver"
	"nickelline/internal/fault"
	"nickelline/internal/member"
	"nickelline/internal/peer"
)

// Kinds of messages.
const (
	announcementKind = peer.GossipKinds + iota
	digestKind
	fetchKind
)

const (
	// digestTimeoutMinimum and digestTimeoutMaximum bound the timeout of an exchange of digests, which is otherwise a
	// heartbeat.
	digestTimeoutMinimum = 500 * time.Millisecond
	digestTimeoutMaximum = time.Second
	// fetchTimeout is the timeout of a fetch.
	fetchTimeout = 5 * time.Second
)

// Service publishes and receives values in this process. Its methods are safe for concurrent use.
type Service struct {
	transport     *peer.Transport
	log           *zap.Logger
	digestTimeout time.Duration
	disseminator  *disseminator // only accessed in functions that the driver calls
	driver        *driver.Driver[output]
	delivery      delivery
	packer        packer
}

// New returns the service of the process that self describes, and registers its handlers with the transport, which must
// not be started yet. The heartbeat is the time between exchanges of digests: a shorter one keeps proofs more recent,
// but takes more messages.
func New(self member.Member, members func() *member.Table, t *peer.Transport, heartbeat time.Duration, log *zap.Logger) *Service {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &Service{
		transport:     t,
		log:           log,
		digestTimeout: min(max(heartbeat, digestTimeoutMinimum), digestTimeoutMaximum),
		disseminator:  newDisseminator(self, members, heartbeat, random, 0),
	}
	s.driver = driver.New(s.disseminator, s.perform)
	t.HandleDatagram(announcementKind, s.receiveAnnouncement)
	t.Handle(digestKind, s.answerDigest)
	t.Handle(fetchKind, s.answerFetch)
	return s
}

// Start begins to exchange messages with other members, until ctx ends. Nothing is sent before Start. It must be called
// once. The goroutines of exchanges and fetches end soon after ctx; nothing waits for them.
func (s *Service) Start(ctx context.Context) { s.driver.Start(ctx) }

// Publish stores and announces a version that this process has created, or learned of by other means than gossip. A
// version that is not newer than the local one is ignored.
func (s *Service) Publish(v Value) {
	if checkTopic(v.Topic) != nil {
		return
	}
	var steps []step
	if current, found := s.Current(v.Topic); found && v.Version.newerThan(current.Version) {
		steps = stepsBetween(current, v)
	}
	s.driver.Do(func(now time.Duration) { s.disseminator.publish(now, v, steps) })
}

// Current returns the newest version that this process has, and whether it has any.
func (s *Service) Current(topic Topic) (Value, bool) {
	value, _, present := s.CurrentWithProof(topic)
	return value, present
}

// CurrentWithProof returns the newest version that this process has, the age of the proof that this version was the newest
// (UnknownAge if there is no proof), and whether the process has any version.
func (s *Service) CurrentWithProof(topic Topic) (value Value, proofAge time.Duration, present bool) {
	s.driver.Inspect(func(now time.Duration) {
		e := &s.disseminator.entries[topic]
		value, proofAge, present = e.value, e.age(now), e.present
	})
	return value, proofAge, present
}

// Subscribe registers a function that is called with the local version, if there is one, and with each newer version.
// Versions may be skipped once newer ones have arrived. Subscribers are called one at a time.
func (s *Service) Subscribe(topic Topic, subscriber func(Value)) {
	s.delivery.subscribe(topic, subscriber)
	if current, found := s.Current(topic); found {
		s.delivery.deliver(current)
	}
}

// Certify records the proof that the version was the newest of the topic at asOf, which must have a monotonic clock reading.
func (s *Service) Certify(topic Topic, version Version, asOf time.Time) {
	s.driver.Inspect(func(time.Duration) { s.disseminator.certify(topic, version, s.driver.TimeOf(asOf)) })
}

// ProofAge returns the age of the latest proof that no version of the topic newer than the given one existed, UnknownAge if
// there is none. The version is one that subscribers were called with; the newest version that has arrived may be newer, since
// the subscribers are called with it some time after its arrival.
func (s *Service) ProofAge(topic Topic, version Version) time.Duration {
	age := UnknownAge
	s.driver.Inspect(func(now time.Duration) { age = s.disseminator.entries[topic].ageOf(version, now) })
	return age
}

// perform performs the output of the state machine.
func (s *Service) perform(ctx context.Context, now time.Duration, out output) {
	for _, v := range out.values {
		s.delivery.deliver(v)
	}
	for _, a := range out.announcements {
		s.announce(a)
	}
	if out.digest != nil {
		go s.exchangeDigest(ctx, now, *out.digest)
	}
	for _, call := range out.fetches {
		go s.fetch(ctx, now, call)
	}
}

func (s *Service) announce(a announcement) {
	body, err := encodeAnnouncement(a.summaries)
	if err != nil {
		s.log.Error("encode announcement failed", zap.Error(err))
		return
	}
	for _, to := range a.to {
		s.transport.SendDatagram(to, peer.Message{Kind: announcementKind, Body: body})
	}
}

func (s *Service) receiveAnnouncement(from netip.AddrPort, m peer.Message) {
	summaries, err := decodeAnnouncement(m.Body)
	if err != nil {
		s.log.Warn("decode announcement failed", zap.Stringer("from", from), zap.Error(err))
		return
	}
	s.driver.Do(func(now time.Duration) { s.disseminator.receiveAnnouncement(now, from, summaries) })
}

// exchangeDigest exchanges digests with a member, and passes the result to the state machine. The ages of the proofs in
// the answer are counted from sentAt.
func (s *Service) exchangeDigest(ctx context.Context, sentAt time.Duration, call digestCall) {
	answer, err := s.callDigest(ctx, call)
	if err != nil {
		s.log.Debug("exchange of digests failed", zap.Stringer("partner", call.to), zap.Error(err))
		s.driver.Do(func(now time.Duration) { s.disseminator.digestFailed(now) })
		return
	}
	s.driver.Do(func(now time.Duration) { s.disseminator.digestAnswered(now, sentAt, call.to, &answer) })
}

// Exchange exchanges digests with a member now, in addition to the periodic exchanges. It returns once the answer is
// stored, or the error of the call.
func (s *Service) Exchange(ctx context.Context, with netip.AddrPort) error {
	var sentAt time.Duration
	call := digestCall{to: with}
	s.driver.Do(func(now time.Duration) {
		sentAt = now
		call.summaries = s.disseminator.summaries(now)
	})
	answer, err := s.callDigest(ctx, call)
	if err != nil {
		return err
	}
	s.driver.Do(func(now time.Duration) { s.disseminator.extraDigestAnswered(now, sentAt, with, &answer) })
	return nil
}

func (s *Service) callDigest(ctx context.Context, call digestCall) (digestAnswer, error) {
	body, err := encodeDigestRequest(call.summaries)
	if err != nil {
		return digestAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.digestTimeout)
	defer cancel()
	answer, err := s.transport.Call(ctx, call.to, peer.Message{Kind: digestKind, Body: body})
	if err != nil {
		return digestAnswer{}, err
	}
	return decodeDigestAnswer(answer.Body)
}

func (s *Service) answerDigest(_ context.Context, from netip.AddrPort, m peer.Message) (peer.Message, error) {
	theirs, err := decodeDigestRequest(m.Body)
	if err != nil {
		return peer.Message{}, fault.Wrap(fault.BadRequest, err)
	}
	var answer digestAnswer
	s.driver.Do(func(now time.Duration) { answer = s.disseminator.answerDigest(now, from, theirs) })
	body, err := answer.encode(&s.packer)
	return peer.Message{Kind: digestKind, Body: body}, err
}

// fetch requests a value from a member, and passes the result to the state machine. The age of the proof in the answer is
// counted from requestedAt.
func (s *Service) fetch(ctx context.Context, requestedAt time.Duration, call fetchCall) {
	answer, err := s.callFetch(ctx, call)
	if err != nil {
		s.log.Debug("fetch of value failed", zap.Stringer("from", call.to), zap.Uint8("topic", uint8(call.request.topic)), zap.Error(err))
		s.driver.Do(func(now time.Duration) { s.disseminator.fetchFailed(now, call.request.topic) })
		return
	}
	s.driver.Do(func(now time.Duration) { s.disseminator.fetchAnswered(now, requestedAt, &answer) })
}

func (s *Service) callFetch(ctx context.Context, call fetchCall) (fetchAnswer, error) {
	body, err := encodeFetchRequest(call.request)
	if err != nil {
		return fetchAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	message, err := s.transport.Call(ctx, call.to, peer.Message{Kind: fetchKind, Body: body})
	if err != nil {
		return fetchAnswer{}, err
	}
	answer, err := decodeFetchAnswer(message.Body)
	if err != nil {
		return fetchAnswer{}, err
	}
	if got, want := answer.update.value.Topic, call.request.topic; got != want {
		return fetchAnswer{}, fault.New(fault.Internal, "answer to fetch: got topic %d, want %d", got, want)
	}
	return answer, nil
}

func (s *Service) answerFetch(_ context.Context, _ netip.AddrPort, m peer.Message) (peer.Message, error) {
	request, err := decodeFetchRequest(m.Body)
	if err != nil {
		return peer.Message{}, fault.Wrap(fault.BadRequest, err)
	}
	var answer fetchAnswer
	var present bool
	s.driver.Inspect(func(now time.Duration) { answer, present = s.disseminator.answerFetch(now, request) })
	if !present {
		return peer.Message{}, fault.New(fault.NotFound, "no value of topic %d", request.topic)
	}
	body, err := answer.encode(&s.packer)
	return peer.Message{Kind: fetchKind, Body: body}, err
}
