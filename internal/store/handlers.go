package store

import (
	"context"
	"net/netip"

	"nickelline/internal/batch/batchcall"
	"nickelline/internal/fault"
	"nickelline/internal/peer"
	"nickelline/internal/view"
)

var errNoView = fault.New(fault.NotReady, "no view of the partition is known here")

// registerHandlers registers the handlers of the proxies' calls.
func (s *Service) registerHandlers() {
	t := s.options.Transport
	t.Handle(batchcall.KindSubmit, handler(s, batchcall.DecodeSubmitRequest, (*partition).submit,
		func(r *batchcall.SubmitRequest) uint32 { return r.Partition }))
	t.Handle(batchcall.KindResults, handler(s, batchcall.DecodeResultsRequest, (*partition).results,
		func(r *batchcall.ResultsRequest) uint32 { return r.Partition }))
	t.Handle(batchcall.KindBody, handler(s, batchcall.DecodeBodyRequest, (*partition).body,
		func(r *batchcall.BodyRequest) uint32 { return r.Partition }))
	t.Handle(batchcall.KindEnd, handler(s, batchcall.DecodeEndRequest, (*partition).end,
		func(r *batchcall.EndRequest) uint32 { return r.Partition }))
	t.Handle(batchcall.KindOffer, handler(s, batchcall.DecodeOfferRequest, (*partition).offer,
		func(r *batchcall.OfferRequest) uint32 { return r.Partition }))
}

// handler returns the handler of one kind of call: it decodes the request, finds the partition that the request names, and calls the
// partition's method. A request that cannot be decoded, or for a partition that is not hosted here, changes nothing.
func handler[R any](
	s *Service,
	decode func(body []byte) (*R, error),
	call func(*partition, context.Context, *R) (*batchcall.Reply, error),
	partitionOf func(*R) uint32,
) peer.Handler {
	return func(ctx context.Context, _ netip.AddrPort, m peer.Message) (peer.Message, error) {
		request, err := decode(m.Body)
		if err != nil {
			return peer.Message{}, fault.Wrap(fault.NotReady, err)
		}
		found, placedView := s.find(partitionOf(request))
		if found == nil {
			return redirectTo(placedView, m.Kind)
		}
		reply, err := call(found, ctx, request)
		return encodeReply(reply, m.Kind, err)
	}
}

// redirectTo replies to a call for a partition that is not hosted here with the head of the partition's view.
func redirectTo(v view.View, kind peer.Kind) (peer.Message, error) {
	head, ok := v.Head()
	if !ok {
		return peer.Message{}, errNoView
	}
	reply := &batchcall.Reply{Redirect: &batchcall.Redirect{Epoch: v.Epoch, Head: head.Address}}
	return reply.Encode(kind)
}

func encodeReply(reply *batchcall.Reply, kind peer.Kind, err error) (peer.Message, error) {
	if err != nil {
		return peer.Message{}, err
	}
	return reply.Encode(kind)
}
