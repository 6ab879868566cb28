package member

import (
	"net/netip"
	"testing"

	"nickelline/internal/golden"
	"nickelline/internal/peer"
)

// goldenMembers returns records in every state, in which no two fields of one record have the same value.
func goldenMembers() []Member {
	return []Member{
		{
			Name:         "frontend-1",
			Role:         "control",
			Zone:         "zone-a",
			Region:       "region-north",
			Address:      netip.MustParseAddrPort("10.1.2.3:7660"),
			ControlPlane: netip.MustParseAddrPort("10.4.5.6:8407"),
			Replica:      0x8000000000000007,
			Generation:   0x1112131415161718,
			Incarnation:  0x2122232425262728,
			State:        Suspect,
			Leaving:      true,
		},
		{
			Name:        "batch-2",
			Role:        "proxy",
			Zone:        "zone-b",
			Region:      "region-south",
			Address:     netip.MustParseAddrPort("255.254.253.252:65535"),
			Generation:  3,
			Incarnation: 4,
			State:       Alive,
		},
		{Address: netip.MustParseAddrPort("10.1.2.5:1"), Generation: 5, Incarnation: 6, State: Dead},
		{Address: netip.MustParseAddrPort("10.1.2.6:2"), Generation: 7, Incarnation: 8, State: Left},
	}
}

func goldenAssertions() []assertion {
	var assertions []assertion
	for _, m := range goldenMembers() {
		assertions = append(assertions, m.assertion())
	}
	return assertions
}

func TestGoldenDatagrams(t *testing.T) {
	for file, want := range map[string]message{
		"ping.hex": {
			messageType: pingMessage,
			sequence:    0x3132333435363738,
			running:     0x41424344,
			digest:      0x5152535455565758,
			records:     goldenMembers(),
			assertions:  goldenAssertions(),
		},
		"ack.hex": {
			messageType: ackMessage,
			sequence:    0x3132333435363738,
			generation:  0x6162636465666768,
			running:     0x41424344,
			digest:      0x5152535455565758,
			records:     goldenMembers(),
			assertions:  goldenAssertions(),
		},
		"indirect_ping.hex": {
			messageType: indirectPingMessage,
			sequence:    0x3132333435363738,
			target:      netip.MustParseAddrPort("10.7.8.9:9999"),
			running:     0x41424344,
			digest:      0x5152535455565758,
			records:     goldenMembers(),
			assertions:  goldenAssertions(),
		},
		"rumour.hex": {
			messageType: rumorMessage,
			running:     0x41424344,
			digest:      0x5152535455565758,
			records:     goldenMembers(),
			assertions:  goldenAssertions(),
		},
		"bare_ping.hex": {messageType: pingMessage, sequence: 9},
	} {
		t.Run(file, func(t *testing.T) {
			encode := func(m message) ([]byte, error) { return m.encode() }
			golden.RoundTrip(t, file, want, encode, decodeMessage)
		})
	}
}

func TestGoldenExchange(t *testing.T) {
	t.Run("request", func(t *testing.T) {
		want := exchangeRequest{digest: 0x5152535455565758, self: goldenMembers()[0]}
		encode := func(r exchangeRequest) ([]byte, error) { return r.encode() }
		golden.RoundTrip(t, "exchange_request.hex", want, encode, decodeExchangeRequest)
	})
	encode := func(a exchangeResponse) ([]byte, error) { return a.encode() }
	t.Run("answer", func(t *testing.T) {
		golden.RoundTrip(t, "exchange_answer.hex", exchangeResponse{records: goldenMembers()}, encode, decodeExchangeResponse)
	})
	t.Run("equal", func(t *testing.T) {
		golden.RoundTrip(t, "exchange_answer_equal.hex", exchangeResponse{equal: true}, encode, decodeExchangeResponse)
	})
}

// TestGoldenDigest checks that the hash over the members does not change: processes of different builds compare it.
func TestGoldenDigest(t *testing.T) {
	const want = uint64(0x11c359fdd19667ae)
	got := uint64(0)
	for _, m := range goldenMembers() {
		got += digestOf(&m)
	}
	if got != want {
		t.Errorf("digest: got %#x, want %#x", got, want)
	}
}

func TestGoldenMessageKinds(t *testing.T) {
	if got, want := datagramKind, peer.Kind(0x100); got != want {
		t.Errorf("kind of datagrams: got %d, want %d", got, want)
	}
	if got, want := exchangeKind, peer.Kind(0x101); got != want {
		t.Errorf("kind of exchanges: got %d, want %d", got, want)
	}
}
