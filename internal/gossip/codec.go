package gossip

import (
	"math"
	"time"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/gossip/gossipwire"
)

// unknownMicros encodes UnknownAge.
const unknownMicros = math.MaxUint64

// encodeAge rounds up, so that an age is never understated.
func encodeAge(age time.Duration) uint64 {
	if age == UnknownAge {
		return unknownMicros
	}
	return uint64((max(age, 0) + time.Microsecond - 1) / time.Microsecond)
}

func decodeAge(micros uint64) time.Duration {
	if micros >= uint64(UnknownAge/time.Microsecond) {
		return UnknownAge
	}
	return time.Duration(micros) * time.Microsecond
}

func checkTopic(topic Topic) error {
	if topic >= topicCount {
		return merry.Errorf("unknown topic %d", topic)
	}
	return nil
}

func encodeSummary(item gossipwire.Summary, s summary) {
	item.SetTopic(uint8(s.topic))
	item.SetEpoch(s.version.Epoch)
	item.SetSequence(s.version.Sequence)
	item.SetAgeMicros(encodeAge(s.age))
}

func decodeSummary(item gossipwire.Summary) summary {
	return summary{
		topic:   Topic(item.Topic()),
		version: Version{Epoch: item.Epoch(), Sequence: item.Sequence()},
		age:     decodeAge(item.AgeMicros()),
	}
}

func encodeSummaries(newList func(int32) (gossipwire.Summary_List, error), summaries []summary) error {
	list, err := newList(int32(len(summaries)))
	if err != nil {
		return err
	}
	for i, s := range summaries {
		encodeSummary(list.At(i), s)
	}
	return nil
}

// decodeSummaries skips topics that this process does not know, since the sender may run a newer release.
func decodeSummaries(list gossipwire.Summary_List, err error) ([]summary, error) {
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	var summaries []summary
	for i := range list.Len() {
		s := decodeSummary(list.At(i))
		if s.topic < topicCount {
			summaries = append(summaries, s)
		}
	}
	return summaries, nil
}

func encodeAnnouncement(summaries []summary) ([]byte, error) {
	return capnpcodec.Marshal(0, gossipwire.NewRootAnnouncement, func(root gossipwire.Announcement) error {
		return encodeSummaries(root.NewSummaries, summaries)
	})
}

func decodeAnnouncement(data []byte) ([]summary, error) {
	root, err := capnpcodec.Unmarshal(data, gossipwire.ReadRootAnnouncement)
	if err != nil {
		return nil, err
	}
	return decodeSummaries(root.Summaries())
}

func encodeDigestRequest(summaries []summary) ([]byte, error) {
	return capnpcodec.Marshal(0, gossipwire.NewRootDigestRequest, func(root gossipwire.DigestRequest) error {
		return encodeSummaries(root.NewSummaries, summaries)
	})
}

func decodeDigestRequest(data []byte) ([]summary, error) {
	root, err := capnpcodec.Unmarshal(data, gossipwire.ReadRootDigestRequest)
	if err != nil {
		return nil, err
	}
	return decodeSummaries(root.Summaries())
}

func (a *digestAnswer) encode(p *packer) ([]byte, error) {
	return capnpcodec.Marshal(0, gossipwire.NewRootDigestAnswer, func(root gossipwire.DigestAnswer) error {
		return a.fill(root, p)
	})
}

func (a *digestAnswer) fill(root gossipwire.DigestAnswer, p *packer) error {
	if err := encodeSummaries(root.NewSummaries, a.summaries); err != nil {
		return err
	}
	updates, err := root.NewUpdates(int32(len(a.updates)))
	if err != nil {
		return err
	}
	for i := range a.updates {
		if err := a.updates[i].encode(updates.At(i), p); err != nil {
			return err
		}
	}
	return nil
}

func decodeDigestAnswer(data []byte) (digestAnswer, error) {
	root, err := capnpcodec.Unmarshal(data, gossipwire.ReadRootDigestAnswer)
	if err != nil {
		return digestAnswer{}, err
	}
	summaries, err := decodeSummaries(root.Summaries())
	if err != nil {
		return digestAnswer{}, err
	}
	updates, err := decodeUpdates(root.Updates())
	if err != nil {
		return digestAnswer{}, err
	}
	return digestAnswer{summaries: summaries, updates: updates}, nil
}

func encodeFetchRequest(r fetchRequest) ([]byte, error) {
	return capnpcodec.Marshal(0, gossipwire.NewRootFetchRequest, func(root gossipwire.FetchRequest) error {
		root.SetTopic(uint8(r.topic))
		if r.base != nil {
			root.SetHasBase(true)
			root.SetBaseEpoch(r.base.Epoch)
			root.SetBaseSequence(r.base.Sequence)
		}
		return nil
	})
}

func decodeFetchRequest(data []byte) (fetchRequest, error) {
	root, err := capnpcodec.Unmarshal(data, gossipwire.ReadRootFetchRequest)
	if err != nil {
		return fetchRequest{}, err
	}
	r := fetchRequest{topic: Topic(root.Topic())}
	if root.HasBase() {
		r.base = &Version{Epoch: root.BaseEpoch(), Sequence: root.BaseSequence()}
	}
	return r, checkTopic(r.topic)
}

func (a *fetchAnswer) encode(p *packer) ([]byte, error) {
	return capnpcodec.Marshal(0, gossipwire.NewRootFetchAnswer, func(root gossipwire.FetchAnswer) error {
		root.SetAgeMicros(encodeAge(a.age))
		item, err := root.NewUpdate()
		if err != nil {
			return err
		}
		return a.update.encode(item, p)
	})
}

func decodeFetchAnswer(data []byte) (fetchAnswer, error) {
	root, err := capnpcodec.Unmarshal(data, gossipwire.ReadRootFetchAnswer)
	if err != nil {
		return fetchAnswer{}, err
	}
	item, err := root.Update()
	if err != nil {
		return fetchAnswer{}, err
	}
	u, err := decodeUpdate(item)
	if err != nil {
		return fetchAnswer{}, err
	}
	if err := checkTopic(u.value.Topic); err != nil {
		return fetchAnswer{}, err
	}
	return fetchAnswer{update: u, age: decodeAge(root.AgeMicros())}, nil
}
