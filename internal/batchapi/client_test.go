package batchapi

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/batch/batchcall"
	"nickelline/internal/batch/deflated"
	"nickelline/internal/configuration"
	"nickelline/internal/fault"
	"nickelline/internal/peer"
	"nickelline/internal/view"
)

const (
	testTenant = "acme"
	testBody   = `{"batchItems":[{"identifier":"e5","path":"/reports/1","headers":{"B":"2","A":"1"},"body":"q83vEjRWeJA=","tokenCount":940,"later":1}],"later":{}}`
)

var (
	first  = netip.MustParseAddrPort("10.0.0.1:7662")
	second = netip.MustParseAddrPort("10.0.0.2:7662")
	third  = netip.MustParseAddrPort("10.0.0.3:7662")
)

// answer is what a store does with one call.
type answer struct {
	reply *batchcall.Reply
	err   error
}

// fakeStores is a Caller that gives the answers of each store in order and repeats the last one. Offers have answers of their
// own; without any, every store accepts the offer.
type fakeStores struct {
	answers map[netip.AddrPort][]answer
	offers  map[netip.AddrPort][]answer
	calls   []netip.AddrPort // other than offers
	offered []netip.AddrPort
	last    peer.Message
}

func (f *fakeStores) Call(_ context.Context, to netip.AddrPort, m peer.Message) (peer.Message, error) {
	answers := f.answers
	switch {
	case m.Kind != batchcall.KindOffer:
		f.calls = append(f.calls, to)
	case f.offers == nil:
		return (&batchcall.Reply{}).Encode(m.Kind)
	default:
		f.offered = append(f.offered, to)
		answers = f.offers
	}
	f.last = m
	left := answers[to]
	if len(left) == 0 {
		return peer.Message{}, fault.New(fault.NotReady, "%v does not respond", to)
	}
	if len(left) > 1 {
		answers[to] = left[1:]
	}
	if left[0].err != nil {
		return peer.Message{}, left[0].err
	}
	return left[0].reply.Encode(m.Kind)
}

var testView = view.View{Chain: 7, Epoch: 3, Members: []view.Member{
	{Address: first, Zone: "north"}, {Address: second, Zone: "south"}, {Address: third, Zone: "east"},
}}

func newTestClient(t *testing.T, zone string, answers map[netip.AddrPort][]answer) (*Client, *fakeStores) {
	t.Helper()
	stores := &fakeStores{answers: answers}
	return New(Options{
		Caller:         stores,
		Locate:         func(string) (view.View, bool) { return testView, true },
		Zone:           zone,
		QuotaOvershoot: 0.1,
	}), stores
}

func fails(kind fault.Kind) answer { return answer{err: fault.New(kind, "a store's error")} }

func done() answer { return answer{reply: &batchcall.Reply{}} }

func redirect(epoch uint64, head netip.AddrPort) answer {
	return answer{reply: &batchcall.Reply{Redirect: &batchcall.Redirect{Epoch: epoch, Head: head}}}
}

var testRoute = &configuration.Route{Name: "reports", Host: "a.example", Prefix: "/reports/", MaxQueuedTokens: 1000}

func submit(c *Client) error {
	return c.Submit(context.Background(), testTenant, testRoute, "7c41", []byte(testBody))
}

func TestSubmissionGoesToTheHead(t *testing.T) {
	c, stores := newTestClient(t, "south", map[netip.AddrPort][]answer{first: {done()}})
	if err := submit(c); err != nil {
		t.Fatal(err)
	}
	request, err := batchcall.DecodeSubmitRequest(stores.last.Body)
	if err != nil {
		t.Fatal(err)
	}
	item := request.Job.Items[0]
	if request.Partition != 7 || request.MaxQueuedTokens != 1090 ||
		request.Job.Route != (batch.RouteRef{Name: "reports", Host: "a.example", Prefix: "/reports/"}) ||
		request.Job.Key != (batch.Key{Tenant: testTenant, Identifier: "7c41"}) {
		t.Errorf("request: got %+v, want job 7c41 of %s in partition 7 with 1090 tokens allowed", request, testTenant)
	}
	if item.Identifier != "e5" || item.Path != "/reports/1" || item.Tokens != 940 || string(item.Body) != "\xab\xcd\xef\x12\x34\x56\x78\x90" ||
		len(item.Headers) != 2 || item.Headers[0] != (batch.Header{Name: "A", Value: "1"}) {
		t.Errorf("item: got %+v, want that of %s", item, testBody)
	}
}

// TestSubmitErrorKinds checks the kind of error that Submit returns for the answers of the stores.
func TestSubmitErrorKinds(t *testing.T) {
	for _, c := range []struct {
		name     string
		answers  map[netip.AddrPort][]answer
		accepted bool
		kind     fault.Kind
	}{
		{"redirect", map[netip.AddrPort][]answer{first: {redirect(4, second)}, second: {done()}}, true, 0},
		{"old redirect", map[netip.AddrPort][]answer{first: {redirect(2, second)}, second: {done()}}, false, fault.NotReady},
		{"redirect without a head", map[netip.AddrPort][]answer{first: {redirect(4, netip.AddrPort{})}}, false, fault.NotReady},
		{"not ready, then done", map[netip.AddrPort][]answer{first: {fails(fault.NotReady), done()}}, true, 0},
		{"not ready", map[netip.AddrPort][]answer{first: {fails(fault.NotReady)}}, false, fault.NotReady},
		{"over the quota", map[netip.AddrPort][]answer{first: {fails(fault.QuotaExceeded)}}, false, fault.QuotaExceeded},
		{"unclear", map[netip.AddrPort][]answer{first: {fails(fault.Unclear)}}, false, fault.Unclear},
		{"internal", map[netip.AddrPort][]answer{first: {fails(fault.Internal)}}, false, fault.Unclear},
		{"unclear, then done", map[netip.AddrPort][]answer{first: {fails(fault.Unclear), done()}}, true, 0},
		{"unclear, then over the quota", map[netip.AddrPort][]answer{first: {fails(fault.Unclear), fails(fault.QuotaExceeded)}}, false, fault.Unclear},
		{"unclear, then not ready", map[netip.AddrPort][]answer{first: {fails(fault.Unclear), fails(fault.NotReady)}}, false, fault.Unclear},
		{"not ready, then over the quota", map[netip.AddrPort][]answer{first: {fails(fault.NotReady), fails(fault.QuotaExceeded)}}, false, fault.QuotaExceeded},
		{"unresponsive", nil, false, fault.NotReady},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, _ := newTestClient(t, "north", c.answers)
			err := submit(client)
			if (err == nil) != c.accepted || err != nil && fault.KindOf(err) != c.kind {
				t.Errorf("got error %v of kind %v, want kind %v", err, fault.KindOf(err), c.kind)
			}
		})
	}
}

// A job is sent only to a head that has accepted its offer. As long as no offer is accepted, it is certain that the job was not
// accepted, even if the head did not answer.
func TestOfferPrecedesSubmission(t *testing.T) {
	for _, c := range []struct {
		name   string
		offers map[netip.AddrPort][]answer
		sentTo []netip.AddrPort
		kind   fault.Kind
	}{
		{"accepted", map[netip.AddrPort][]answer{first: {done()}}, []netip.AddrPort{first}, 0},
		{"redirected", map[netip.AddrPort][]answer{first: {redirect(4, second)}, second: {done()}}, []netip.AddrPort{second}, 0},
		{"not ready, then accepted", map[netip.AddrPort][]answer{first: {fails(fault.NotReady), done()}}, []netip.AddrPort{first}, 0},
		{"no answer, then accepted", map[netip.AddrPort][]answer{first: {fails(fault.Unclear), done()}}, []netip.AddrPort{first}, 0},
		{"over the quota", map[netip.AddrPort][]answer{first: {fails(fault.QuotaExceeded)}}, nil, fault.QuotaExceeded},
		{"no answer, then over the quota", map[netip.AddrPort][]answer{first: {fails(fault.Unclear), fails(fault.QuotaExceeded)}}, nil, fault.NotReady},
		{"no answer", map[netip.AddrPort][]answer{first: {fails(fault.Unclear)}}, nil, fault.NotReady},
		{"unresponsive", map[netip.AddrPort][]answer{second: {done()}}, nil, fault.NotReady},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, stores := newTestClient(t, "north", map[netip.AddrPort][]answer{first: {done()}, second: {done()}})
			stores.offers = c.offers
			err := submit(client)
			if (err == nil) != (c.kind == 0) || err != nil && fault.KindOf(err) != c.kind {
				t.Errorf("got error %v of kind %v, want kind %v", err, fault.KindOf(err), c.kind)
			}
			if !slices.Equal(stores.calls, c.sentTo) {
				t.Errorf("job sent to: got %v, want %v", stores.calls, c.sentTo)
			}
		})
	}
}

func TestOfferDescribesTheJob(t *testing.T) {
	c, stores := newTestClient(t, "south", nil)
	stores.offers = map[netip.AddrPort][]answer{first: {fails(fault.QuotaExceeded)}}
	if err := submit(c); fault.KindOf(err) != fault.QuotaExceeded {
		t.Fatal(err)
	}
	request, err := batchcall.DecodeOfferRequest(stores.last.Body)
	if err != nil {
		t.Fatal(err)
	}
	want := batch.Offer{Key: batch.Key{Tenant: testTenant, Identifier: "7c41"}, Route: "reports", Tokens: 940, MaxQueuedTokens: 1090}
	if request.Partition != 7 || request.Offer != want {
		t.Errorf("offer: got %+v, want %+v in partition 7", request, want)
	}
}

func TestUnknownPlacementIsNotReady(t *testing.T) {
	c, _ := newTestClient(t, "north", nil)
	c.options.Locate = func(string) (view.View, bool) { return view.View{}, false }
	if err := submit(c); fault.KindOf(err) != fault.NotReady {
		t.Errorf("submit: got error %v, want one of kind NotReady", err)
	}
	if _, err := c.ItemBody(context.Background(), testTenant, "7c41", "e5"); fault.KindOf(err) != fault.NotReady {
		t.Errorf("item body: got error %v, want one of kind NotReady", err)
	}
}

func TestInvalidSubmissionsAreNotSent(t *testing.T) {
	long := `{"batchItems":[` + strings.Repeat(`{},`, maxItems) + `{}]}`
	for _, body := range []string{
		``, `[]`, `{}`, `{"batchItems":`, `{"batchItems":[{"identifier":"","path":"/a"}]}`, long,
		`{"batchItems":[{"identifier":"e","path":"a"}]}`,
		`{"batchItems":[{"identifier":"e","path":"/a b"}]}`,
		`{"batchItems":[{"identifier":"e","path":"/a","body":"*"}]}`,
		`{"batchItems":[{"identifier":"e","path":"/a","tokenCount":-1}]}`,
		`{"batchItems":[{"identifier":"e","path":"/a","headers":{"a\r\nb":"c"}}]}`,
		`{"batchItems":[{"identifier":"e","path":"/a","headers":{"a":"b\r\nc: d"}}]}`,
		`{"batchItems":[{"identifier":"e\r\nb: c","path":"/a"}]}`,
		`{"batchItems":[{"identifier":"e","path":"/a"},{"identifier":"e","path":"/a"}]}`,
	} {
		c, stores := newTestClient(t, "north", map[netip.AddrPort][]answer{first: {done()}})
		err := c.Submit(context.Background(), testTenant, testRoute, "7c41", []byte(body))
		if fault.KindOf(err) != fault.BadRequest || len(stores.calls) != 0 {
			t.Errorf("submit %.60s: got error %v after %d calls, want a bad request and no call", body, err, len(stores.calls))
		}
	}
}

func page(results ...string) answer {
	p := &batch.Page{Total: 9, Next: len(results)}
	for _, result := range results {
		p.Results = append(p.Results, batch.ListedResult{Identifier: result, State: batch.Completed, Content: deflated.Wrap([]byte("text"))})
	}
	return answer{reply: &batchcall.Reply{Page: p}}
}

func TestReadsPreferTheOwnZone(t *testing.T) {
	for zone, want := range map[string]netip.AddrPort{"north": first, "south": second, "east": third, "west": first} {
		c, stores := newTestClient(t, zone, map[netip.AddrPort][]answer{first: {page("a")}, second: {page("a")}, third: {page("a")}})
		got, err := c.Results(context.Background(), testTenant, "7c41", 0, 0)
		if err != nil || got.Total != 9 || got.Next != 1 || string(got.Results[0].Content) != "text" {
			t.Errorf("zone %s: got page %+v, %v, want 9 items in total and 1 result", zone, got, err)
		}
		if stores.calls[0] != want {
			t.Errorf("zone %s: read from %v, want %v", zone, stores.calls[0], want)
		}
	}
}

func TestReadsFailOverToOtherReplicas(t *testing.T) {
	for _, kind := range []fault.Kind{fault.NotReady, fault.Unclear, fault.Internal} {
		c, stores := newTestClient(t, "south", map[netip.AddrPort][]answer{first: {page("a")}, second: {fails(kind)}})
		if _, err := c.Results(context.Background(), testTenant, "7c41", 0, time.Millisecond); err != nil {
			t.Errorf("first read: got error %v, want none", err)
		}
		if _, err := c.Results(context.Background(), testTenant, "7c41", 0, time.Millisecond); err != nil {
			t.Errorf("second read: got error %v, want none", err)
		}
		if len(stores.calls) != 3 || stores.calls[1] != first || stores.calls[2] != first {
			t.Errorf("calls: got %v, want the second call and later ones to %v", stores.calls, first)
		}
	}
}

func TestNotFoundComesOnlyFromAReplica(t *testing.T) {
	c, _ := newTestClient(t, "south", map[netip.AddrPort][]answer{second: {fails(fault.NotFound)}})
	if _, err := c.Results(context.Background(), testTenant, "7c41", 0, 0); fault.KindOf(err) != fault.NotFound {
		t.Errorf("results: got error %v, want one of kind NotFound", err)
	}
	c, _ = newTestClient(t, "south", map[netip.AddrPort][]answer{first: {fails(fault.Unclear)}, second: {redirect(4, third)}})
	if _, err := c.ItemBody(context.Background(), testTenant, "7c41", "e5"); fault.KindOf(err) != fault.NotReady {
		t.Errorf("item body: got error %v, want one of kind NotReady", err)
	}
}

func TestEndWithoutAnswerIsUnclear(t *testing.T) {
	c, _ := newTestClient(t, "north", map[netip.AddrPort][]answer{first: {fails(fault.Unclear)}})
	if err := c.End(context.Background(), testTenant, "7c41"); fault.KindOf(err) != fault.Unclear {
		t.Errorf("end: got error %v, want one of kind Unclear", err)
	}
	c, _ = newTestClient(t, "north", map[netip.AddrPort][]answer{first: {fails(fault.Unclear), done()}})
	if err := c.End(context.Background(), testTenant, "7c41"); err != nil {
		t.Errorf("end: got error %v, want none", err)
	}
}

func TestCallsEndWithTheContext(t *testing.T) {
	c, stores := newTestClient(t, "north", map[netip.AddrPort][]answer{first: {fails(fault.NotReady)}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := c.Submit(ctx, testTenant, testRoute, "7c41", []byte(testBody)); err == nil || errors.Is(err, context.Canceled) {
		t.Errorf("submit: got error %v, want one that is not context.Canceled", err)
	}
	if len(stores.calls) != 1 {
		t.Errorf("calls: got %d, want 1", len(stores.calls))
	}
}
