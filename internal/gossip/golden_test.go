package gossip

import (
	"testing"
	"time"

	"nickelline/internal/golden"
	"nickelline/internal/peer"
)

func goldenSummaries() []summary {
	return []summary{
		{topic: Configuration, version: Version{Epoch: 0x1112131415161718, Sequence: 0x2122232425262728}, age: 5 * time.Second},
		{topic: Backends, version: Version{Epoch: 3, Sequence: 4}, age: 7 * time.Microsecond},
		{topic: Placement, version: Version{Epoch: 5, Sequence: 6}, age: UnknownAge},
	}
}

func goldenWholeUpdate() update {
	return update{value: Value{
		Topic:   Backends,
		Version: Version{Epoch: 0x3132333435363738, Sequence: 0x4142434445464748},
		Data:    versionData(9, 300),
	}}
}

func goldenStepsUpdate() update {
	return update{
		value: Value{Topic: Placement, Version: Version{Epoch: 14, Sequence: 15}},
		steps: []step{
			{from: Version{Epoch: 10, Sequence: 11}, to: Version{Epoch: 12, Sequence: 13}, difference: []byte("first difference")},
			{from: Version{Epoch: 12, Sequence: 13}, to: Version{Epoch: 14, Sequence: 15}, difference: []byte("second difference")},
		},
	}
}

func TestGoldenAnnouncement(t *testing.T) {
	golden.RoundTrip(t, "announcement.hex", goldenSummaries(), encodeAnnouncement, decodeAnnouncement)
}

func TestGoldenDigest(t *testing.T) {
	t.Run("request", func(t *testing.T) {
		golden.RoundTrip(t, "digest_request.hex", goldenSummaries(), encodeDigestRequest, decodeDigestRequest)
	})
	t.Run("answer", func(t *testing.T) {
		want := digestAnswer{summaries: goldenSummaries(), updates: []update{goldenWholeUpdate(), goldenStepsUpdate()}}
		encode := func(a digestAnswer) ([]byte, error) { return a.encode(&packer{}) }
		golden.RoundTrip(t, "digest_answer.hex", want, encode, decodeDigestAnswer)
	})
}

func TestGoldenFetch(t *testing.T) {
	for file, want := range map[string]fetchRequest{
		"fetch_request_whole.hex": {topic: Backends},
		"fetch_request_base.hex":  {topic: Placement, base: &Version{Epoch: 0x5152535455565758, Sequence: 0x6162636465666768}},
	} {
		t.Run(file, func(t *testing.T) {
			golden.RoundTrip(t, file, want, encodeFetchRequest, decodeFetchRequest)
		})
	}
	for file, want := range map[string]fetchAnswer{
		"fetch_answer_whole.hex": {update: goldenWholeUpdate(), age: 8 * time.Second},
		"fetch_answer_steps.hex": {update: goldenStepsUpdate(), age: UnknownAge},
	} {
		t.Run(file, func(t *testing.T) {
			encode := func(a fetchAnswer) ([]byte, error) { return a.encode(&packer{}) }
			golden.RoundTrip(t, file, want, encode, decodeFetchAnswer)
		})
	}
}

func TestGoldenMessageKinds(t *testing.T) {
	for _, test := range []struct {
		name      string
		got, want peer.Kind
	}{
		{"announcement", announcementKind, 0x200},
		{"digest", digestKind, 0x201},
		{"fetch", fetchKind, 0x202},
	} {
		if test.got != test.want {
			t.Errorf("kind of %s: got %d, want %d", test.name, test.got, test.want)
		}
	}
}
