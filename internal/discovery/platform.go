package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"

	"nickelline/internal/checkeddial"
)

const (
	callTimeout       = 400 * time.Millisecond
	idleTimeout       = 10 * time.Second
	maxPageRetries    = 2                      // retries of a page after status 429
	minPageRetryDelay = 100 * time.Millisecond // before the first retry; doubles with each retry
	maxPages          = 4096                   // a longer listing is assumed to loop
	stateReady        = "ready"
)

// ErrRateLimited is returned when the platform refuses a call with status 429.
var ErrRateLimited = merry.New("read platform listing: rate limit exceeded")

// Platform is a client of the platform's listing of backends.
type Platform struct {
	address  netip.AddrPort
	ratePerS float64 // rate limit in calls per second; 0: unlimited
	client   *client.Client
	// pause waits between calls; tests replace it.
	pause func(ctx context.Context, d time.Duration) error
}

// NewPlatform returns a client of the listing at an address. ratePerS is the platform's limit in calls per second, 0
// for no limit.
func NewPlatform(address netip.AddrPort, ratePerS float64) (*Platform, error) {
	c, err := client.NewClient(
		client.WithDialer(checkeddial.New()),
		client.WithDialTimeout(callTimeout),
		client.WithClientReadTimeout(callTimeout),
		client.WithWriteTimeout(callTimeout),
		client.WithMaxIdleConnDuration(idleTimeout),
		client.WithMaxConnsPerHost(1),
	)
	if err != nil {
		return nil, merry.Prepend(err, "create client of platform listing")
	}
	return &Platform{address: address, ratePerS: ratePerS, client: c, pause: pause}, nil
}

// page is one page of the listing.
type page struct {
	Instances []instance `json:"instances"`
	NextToken *string    `json:"nextToken"`
}

// instance is one entry of the listing.
type instance struct {
	Identifier      string         `json:"identifier"`
	Service         string         `json:"service"`
	Address         netip.AddrPort `json:"address"`
	Zone            string         `json:"zone"`
	Version         string         `json:"version"`
	CapacitySlots   float64        `json:"capacitySlots"`
	State           string         `json:"state"`
	ColdRemainingMs float64        `json:"coldRemainingMs"`
}

func (i *instance) backend() Backend {
	return Backend{
		ID:            i.Identifier,
		Service:       i.Service,
		Address:       i.Address,
		Zone:          i.Zone,
		Version:       i.Version,
		Slots:         int(i.CapacitySlots),
		Draining:      i.State != stateReady,
		ColdRemaining: time.Duration(i.ColdRemainingMs * float64(time.Millisecond)),
	}
}

// Listing is the result of a poll.
type Listing struct {
	// List is nil unless all pages arrived.
	List *List
	// Pages is the number of pages that arrived.
	Pages int
}

// Read polls all pages of the listing. It calls onPage with each page as it arrives. On an error, only Pages of the
// returned Listing is set. When the platform refuses calls because of its rate limit, the primary retries until the
// context ends; other nodes give up after a few retries and return ErrRateLimited.
func (p *Platform) Read(ctx context.Context, primary bool, onPage func(page []Backend)) (Listing, error) {
	var backends []Backend
	token := ""
	pacing := callPacing{ratePerS: p.ratePerS, primary: primary}
	for pages := 1; pages <= maxPages; pages++ {
		answer, err := p.readNextPage(ctx, token, pages-1, pacing)
		if err != nil {
			return Listing{Pages: pages - 1}, err
		}
		before := len(backends)
		for i := range answer.Instances {
			backends = append(backends, answer.Instances[i].backend())
		}
		onPage(backends[before:])
		if answer.NextToken == nil || *answer.NextToken == "" {
			list := NewList(sortedByID(backends))
			list.pages = pages
			return Listing{List: list, Pages: pages}, nil
		}
		token = *answer.NextToken
	}
	return Listing{Pages: maxPages}, merry.Errorf("read platform listing: got more than %d pages", maxPages)
}

// sortedByID sorts entries by ID, in place, and removes duplicates, which occur when the listing changes between two
// pages. It keeps the last entry of each ID, as it is the newest.
func sortedByID(backends []Backend) []Backend {
	slices.SortStableFunc(backends, func(a, b Backend) int { return cmp.Compare(a.ID, b.ID) })
	kept := backends[:0]
	for i, b := range backends {
		if i+1 < len(backends) && backends[i+1].ID == b.ID {
			continue
		}
		kept = append(kept, b)
	}
	return kept
}

// readNextPage requests the next page after the given number of pages, at the pace that the rate limit allows.
func (p *Platform) readNextPage(ctx context.Context, token string, pages int, pacing callPacing) (*page, error) {
	if gap := pacing.callGap(pages); gap > 0 {
		if err := p.pause(ctx, gap); err != nil {
			return nil, err
		}
	}
	return p.readPage(ctx, token, pacing)
}

// readPage requests one page, and retries calls that the rate limit refuses.
func (p *Platform) readPage(ctx context.Context, token string, pacing callPacing) (*page, error) {
	for refused := 1; ; refused++ {
		answer, err := p.request(ctx, token)
		if !errors.Is(err, ErrRateLimited) {
			return answer, err
		}
		wait, again := pacing.retryDelay(refused)
		if !again {
			return nil, err
		}
		if err := p.pause(ctx, jittered(wait)); err != nil {
			return nil, err
		}
	}
}

// request makes one call for a page.
func (p *Platform) request(ctx context.Context, token string) (*page, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	target := "http://" + p.address.String() + "/instances"
	if token != "" {
		target += "?pageToken=" + url.QueryEscape(token)
	}
	request.SetRequestURI(target)
	if err := p.client.Do(ctx, request, response); err != nil {
		return nil, merry.Prepend(err, "read platform listing")
	}
	switch status := response.StatusCode(); status {
	case http.StatusOK:
	case http.StatusTooManyRequests:
		return nil, ErrRateLimited
	default:
		return nil, merry.Errorf("read platform listing: got status %d, want 200", status)
	}
	answer := &page{}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return nil, merry.Prepend(err, "decode page of platform listing")
	}
	return answer, nil
}

// pause waits for the given time. It returns the context's error if the context ends first.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// jittered returns a random duration of 0.75 to 1.25 times the given one.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*rand.Float64()))
}
