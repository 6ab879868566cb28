package batchapi

import (
	"context"
	"net/netip"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/batch/batchcall"
	"nickelline/internal/batch/deflated"
	"nickelline/internal/configuration"
	"nickelline/internal/fault"
	"nickelline/internal/httpsyntax"
	"nickelline/internal/peer"
	"nickelline/internal/view"
)

const (
	// maxPageBytes limits the contents of one page of results. The page may have 1 MB including the overhead of JSON.
	maxPageBytes = 750_000
	// overshootFraction is the part of the allowed quota overshoot that is added to the limit of queued tokens, because a store
	// counts an item for a little longer than the backends do.
	overshootFraction = 0.9
)

// Caller sends calls to other processes.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Message, error)
}

// Options set up a Client.
type Options struct {
	// Caller sends calls to stores.
	Caller Caller
	// Locate returns the newest known view of the partition that a tenant's jobs are in. Its Chain is the partition's number.
	Locate func(tenant string) (view.View, bool)
	// Zone is the zone of this proxy. Reads prefer its replicas.
	Zone string
	// QuotaOvershoot is the fraction by which a quota may be exceeded.
	QuotaOvershoot float64
}

// Client calls the stores that keep batch jobs. It is safe for concurrent use and starts no goroutine.
type Client struct {
	options Options
	heads   *headCache
}

// New returns a client.
func New(options Options) *Client {
	return &Client{options: options, heads: newHeadCache()}
}

// Submit submits a job, whose body is as the client sent it. It returns nil once the job is stored durably. It first asks the
// head whether it would accept the job, and sends the job only if so. A job that exceeds the quota is therefore not sent. Nor is
// a job sent to a head that does not respond, because it would then be unknown whether the job was accepted.
func (c *Client) Submit(ctx context.Context, tenant string, route *configuration.Route, job string, body []byte) error {
	if !httpsyntax.IsToken(job) {
		return fault.New(fault.BadRequest, "identifier %q of a batch job is not a token", job)
	}
	items, err := decodeSubmission(body)
	if err != nil {
		return err
	}
	request := &batchcall.SubmitRequest{
		Job: batch.Job{
			Key:   batch.Key{Tenant: tenant, Identifier: job},
			Route: batch.RouteRef{Name: route.Name, Host: route.Host, Prefix: route.Prefix},
			Terms: batch.Terms{Retention: route.Retention, MaxAttempts: route.MaxAttempts},
			Items: items,
		},
		MaxQueuedTokens: c.maxQueuedTokens(route),
	}
	if err := c.checkOffer(ctx, tenant, request); err != nil {
		return err
	}
	return c.callHead(ctx, tenant, writeTimeout, func(partition uint32) (peer.Message, error) {
		request.Partition = partition
		return request.Encode()
	})
}

// checkOffer asks the head of a tenant's partition whether it would accept a job. Any error guarantees that the job was not
// accepted.
func (c *Client) checkOffer(ctx context.Context, tenant string, submission *batchcall.SubmitRequest) error {
	submit := batch.Submit{Job: submission.Job, MaxQueuedTokens: submission.MaxQueuedTokens}
	request := &batchcall.OfferRequest{Offer: submit.Offer()}
	ctx, cancel := context.WithTimeout(ctx, totalOfferTimeout)
	defer cancel()
	err := c.callHead(ctx, tenant, offerTimeout, func(partition uint32) (peer.Message, error) {
		request.Partition = partition
		return request.Encode()
	})
	if fault.KindOf(err) == fault.Unclear {
		return fault.Wrap(fault.NotReady, err)
	}
	return err
}

// maxQueuedTokens returns how many tokens a tenant may have queued on a route.
func (c *Client) maxQueuedTokens(route *configuration.Route) int64 {
	return route.MaxQueuedTokens + int64(float64(route.MaxQueuedTokens)*c.options.QuotaOvershoot*overshootFraction)
}

// End ends a job. Ending a job that has already ended is no error.
func (c *Client) End(ctx context.Context, tenant, job string) error {
	request := &batchcall.EndRequest{Key: batch.Key{Tenant: tenant, Identifier: job}}
	return c.callHead(ctx, tenant, writeTimeout, func(partition uint32) (peer.Message, error) {
		request.Partition = partition
		return request.Encode()
	})
}

// Results returns the results after the first startAfter, with their contents expanded. It waits up to wait for the first of
// them.
func (c *Client) Results(ctx context.Context, tenant, job string, startAfter int, wait time.Duration) (batch.Page, error) {
	request := &batchcall.ResultsRequest{
		Key:        batch.Key{Tenant: tenant, Identifier: job},
		StartAfter: startAfter,
		MaxBytes:   maxPageBytes,
	}
	waitDeadline := time.Now().Add(wait)
	reply, err := c.read(ctx, tenant, wait, func(partition uint32) (peer.Message, error) {
		request.Partition = partition
		request.Wait = max(time.Until(waitDeadline), 0)
		return request.Encode()
	})
	if err != nil {
		return batch.Page{}, err
	}
	if reply.Page == nil {
		return batch.Page{}, fault.New(fault.NotReady, "reply to a request for results has no page")
	}
	return decompressPage(*reply.Page)
}

// decompressPage expands the contents of a page.
func decompressPage(page batch.Page) (batch.Page, error) {
	for i := range page.Results {
		content, err := deflated.Expand(page.Results[i].Content)
		if err != nil {
			return batch.Page{}, fault.Wrap(fault.NotReady, err)
		}
		page.Results[i].Content = content
	}
	return page, nil
}

// ItemBody returns the body of an item that is not listed yet.
func (c *Client) ItemBody(ctx context.Context, tenant, job, item string) ([]byte, error) {
	request := &batchcall.BodyRequest{Key: batch.Key{Tenant: tenant, Identifier: job}, Identifier: item}
	reply, err := c.read(ctx, tenant, 0, func(partition uint32) (peer.Message, error) {
		request.Partition = partition
		return request.Encode()
	})
	if err != nil {
		return nil, err
	}
	return reply.Body, nil
}
