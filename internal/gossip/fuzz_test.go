package gossip

import "testing"

// FuzzDecode checks that decoding arbitrary bytes either succeeds or returns an error, and that decoded messages only
// have known topics.
func FuzzDecode(f *testing.F) {
	value := Value{Topic: Backends, Version: Version{Sequence: 4}, Data: []byte("data")}
	stepped := update{value: Value{Topic: Backends}, steps: []step{{difference: []byte("difference")}}}
	answer := digestAnswer{summaries: []summary{{topic: Placement, age: UnknownAge}}, updates: []update{{value: value}, stepped}}
	data, err := answer.encode(&packer{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	fetch := fetchAnswer{update: update{value: value}}
	if data, err = fetch.encode(&packer{}); err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if read, err := decodeDigestAnswer(data); err == nil {
			checkTopics(t, read.summaries)
		}
		if read, err := decodeAnnouncement(data); err == nil {
			checkTopics(t, read)
		}
		if read, err := decodeFetchAnswer(data); err == nil && read.update.value.Topic >= topicCount {
			t.Errorf("topic of the decoded update: got %d, want less than %d", read.update.value.Topic, topicCount)
		}
	})
}

func checkTopics(t *testing.T, summaries []summary) {
	for _, s := range summaries {
		if s.topic >= topicCount {
			t.Errorf("topic of a decoded summary: got %d, want less than %d", s.topic, topicCount)
		}
	}
}
