package batchcall

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/golden"
	"nickelline/internal/peer"
)

var goldenKey = batch.Key{Tenant: "tenant", Identifier: "job"}

// message is a request that can be encoded. Its kind and its encoding have to stay the same in all versions.
type message interface{ Encode() (peer.Message, error) }

// decoder converts the decoding function of one type of request.
func decoder[T message](decode func([]byte) (T, error)) func([]byte) (message, error) {
	return func(body []byte) (message, error) { return decode(body) }
}

func TestRequestFormat(t *testing.T) {
	tests := []struct {
		name   string
		file   string
		kind   peer.Kind
		want   message
		decode func([]byte) (message, error)
	}{
		{
			name: "submit", file: "submit.hex", kind: peer.BatchKinds, decode: decoder(DecodeSubmitRequest),
			want: &SubmitRequest{
				Partition: 0x11121314, MaxQueuedTokens: 0x2122232425262728,
				Job: batch.Job{Key: goldenKey, Route: batch.RouteRef{Name: "route", Host: "host.example", Prefix: "/prefix/"}, Terms: batch.Terms{Retention: 40 * time.Second, MaxAttempts: 3}, Items: []batch.Item{{
					Identifier: "item", Path: "/path", Body: []byte("body"), Tokens: 0x3132333435363738,
					Headers: []batch.Header{{Name: "Name", Value: "value"}},
				}}},
			},
		},
		{
			name: "results", file: "results.hex", kind: peer.BatchKinds + 1, decode: decoder(DecodeResultsRequest),
			want: &ResultsRequest{
				Partition: 0x11121314, Key: goldenKey, StartAfter: 0x21222324, Wait: 0x31323334 * time.Millisecond, MaxBytes: 0x41424344,
			},
		},
		{
			name: "body", file: "body.hex", kind: peer.BatchKinds + 2, decode: decoder(DecodeBodyRequest),
			want: &BodyRequest{Partition: 0x11121314, Key: goldenKey, Identifier: "item"},
		},
		{
			name: "end", file: "end.hex", kind: peer.BatchKinds + 3, decode: decoder(DecodeEndRequest),
			want: &EndRequest{Partition: 0x11121314, Key: goldenKey},
		},
		{
			name: "offer", file: "offer.hex", kind: peer.BatchKinds + 4, decode: decoder(DecodeOfferRequest),
			want: &OfferRequest{Partition: 0x11121314, Offer: batch.Offer{
				Key: goldenKey, Route: "route", Tokens: 0x2122232425262728, MaxQueuedTokens: 0x3132333435363738,
			}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			encoded, err := test.want.Encode()
			if err != nil {
				t.Fatalf("encode: %v", err)
			}
			if encoded.Kind != test.kind {
				t.Errorf("kind: got %d, want %d", encoded.Kind, test.kind)
			}
			got, err := test.decode(golden.Bytes(t, test.file, encoded.Body))
			if err != nil || !reflect.DeepEqual(got, test.want) {
				t.Errorf("decoded request: got %+v, %v, want %+v", got, err, test.want)
			}
		})
	}
}

func TestReplyFormat(t *testing.T) {
	tests := []struct {
		name string
		file string
		want Reply
	}{
		{name: "done", file: "reply-done.hex"},
		{name: "redirect to an unknown head", file: "reply-redirect-unknown.hex", want: Reply{Redirect: &Redirect{Epoch: 0x1112131415161718}}},
		{name: "redirect", file: "reply-redirect.hex", want: Reply{
			Redirect: &Redirect{Epoch: 0x1112131415161718, Head: netip.MustParseAddrPort("10.1.2.3:7662")},
		}},
		{name: "redirect to an IPv6 address", file: "reply-redirect-ipv6.hex", want: Reply{
			Redirect: &Redirect{Epoch: 0x1112131415161718, Head: netip.MustParseAddrPort("[2001:db8::7]:7662")},
		}},
		{name: "page", file: "reply-page.hex", want: Reply{Page: &batch.Page{Total: 0x21222324, Next: 0x31323334, Results: []batch.ListedResult{
			{Identifier: "completed", State: batch.Completed, Content: []byte("result")},
			{Identifier: "abandoned", State: batch.Abandoned},
		}}}},
		{name: "body", file: "reply-body.hex", want: Reply{Body: []byte("body")}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			encoded, err := test.want.Encode(KindBody)
			if err != nil {
				t.Fatalf("encode: %v", err)
			}
			got, err := DecodeReply(golden.Bytes(t, test.file, encoded.Body))
			if err != nil || !reflect.DeepEqual(*got, test.want) {
				t.Errorf("decoded reply: got %+v, %v, want %+v", got, err, test.want)
			}
		})
	}
}
