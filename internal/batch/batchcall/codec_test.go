package batchcall

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"nickelline/internal/batch"
)

var testKey = batch.Key{Tenant: "acme", Identifier: "7c41"}

func TestRequestRoundTrip(t *testing.T) {
	submit := &SubmitRequest{Partition: 3, MaxQueuedTokens: 9, Job: batch.Job{
		Key: testKey, Route: batch.RouteRef{Name: "reports", Host: "a.example", Prefix: "/reports/"},
		Items: []batch.Item{{
			Identifier: "e5", Path: "/reports/1?x=y", Body: []byte{0, 1}, Tokens: 940,
			Headers: []batch.Header{{Name: "A", Value: "b"}},
		}},
	}}
	message, err := submit.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeSubmitRequest(message.Body); err != nil || !reflect.DeepEqual(got, submit) {
		t.Errorf("decoded submit request: got %+v, %v, want %+v", got, err, submit)
	}
	offer := &OfferRequest{Partition: 3, Offer: batch.Offer{Key: testKey, Route: "reports", Tokens: 7, MaxQueuedTokens: 9}}
	if message, err = offer.Encode(); err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeOfferRequest(message.Body); err != nil || !reflect.DeepEqual(got, offer) {
		t.Errorf("decoded offer request: got %+v, %v, want %+v", got, err, offer)
	}
	results := &ResultsRequest{Partition: 3, Key: testKey, StartAfter: 12, Wait: time.Second, MaxBytes: 1 << 20}
	if message, err = results.Encode(); err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeResultsRequest(message.Body); err != nil || !reflect.DeepEqual(got, results) {
		t.Errorf("decoded results request: got %+v, %v, want %+v", got, err, results)
	}
	body := &BodyRequest{Partition: 3, Key: testKey, Identifier: "e5"}
	if message, err = body.Encode(); err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeBodyRequest(message.Body); err != nil || !reflect.DeepEqual(got, body) {
		t.Errorf("decoded body request: got %+v, %v, want %+v", got, err, body)
	}
	end := &EndRequest{Partition: 3, Key: testKey}
	if message, err = end.Encode(); err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeEndRequest(message.Body); err != nil || !reflect.DeepEqual(got, end) {
		t.Errorf("decoded end request: got %+v, %v, want %+v", got, err, end)
	}
}

func TestReplyRoundTrip(t *testing.T) {
	for _, reply := range []*Reply{
		{},
		{Redirect: &Redirect{Epoch: 7}},
		{Redirect: &Redirect{Epoch: 7, Head: netip.MustParseAddrPort("10.1.0.7:7662")}},
		{Page: &batch.Page{Total: 4, Next: 2, Results: []batch.ListedResult{{Identifier: "e5", State: batch.Completed, Content: []byte("a\nb")}}}},
		{Body: []byte{1, 2, 3}},
	} {
		message, err := reply.Encode(KindResults)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeReply(message.Body); err != nil || !reflect.DeepEqual(got, reply) {
			t.Errorf("decoded reply: got %+v, %v, want %+v", got, err, reply)
		}
	}
}

func TestMalformedMessagesAreErrors(t *testing.T) {
	for _, body := range [][]byte{nil, {1}, {0, 0, 0, 0, 9, 0, 0, 0}} {
		if _, err := DecodeSubmitRequest(body); err == nil {
			t.Errorf("decode submission %v: got no error, want one", body)
		}
		if _, err := DecodeReply(body); err == nil {
			t.Errorf("decode reply %v: got no error, want one", body)
		}
	}
}
