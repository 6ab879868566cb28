package batchcall

import (
	"time"

	"capnproto.org/go/capnp/v3"

	"nickelline/internal/batch"
	"nickelline/internal/batch/batchcall/batchcallwire"
	"nickelline/internal/batch/batchwire"
	"nickelline/internal/capnpcodec"
	"nickelline/internal/peer"
)

// messageBytes is an upper bound of the size of a message without its keys, jobs, results and bodies.
const messageBytes = 256

// marshal encodes a message of the given kind.
func marshal[T any](kind peer.Kind, size int, newRoot func(*capnp.Segment) (T, error), fill func(T) error) (peer.Message, error) {
	body, err := capnpcodec.Marshal(size, newRoot, fill)
	return peer.Message{Kind: kind, Body: body}, err
}

// Encode returns the message of the submission.
func (r *SubmitRequest) Encode() (peer.Message, error) {
	return marshal(KindSubmit, messageBytes+batch.JobSize(&r.Job), batchcallwire.NewRootSubmitRequest, func(root batchcallwire.SubmitRequest) error {
		root.SetPartition(r.Partition)
		root.SetMaxQueuedTokens(r.MaxQueuedTokens)
		job, err := root.NewJob()
		if err != nil {
			return err
		}
		return batch.EncodeJob(job, &r.Job)
	})
}

// DecodeSubmitRequest decodes a submission. Its bodies share the memory of the message.
func DecodeSubmitRequest(body []byte) (*SubmitRequest, error) {
	root, err := capnpcodec.Unmarshal(body, batchcallwire.ReadRootSubmitRequest)
	if err != nil {
		return nil, err
	}
	encoded, err := root.Job()
	if err != nil {
		return nil, err
	}
	job, err := batch.DecodeJob(encoded)
	if err != nil {
		return nil, err
	}
	return &SubmitRequest{Partition: root.Partition(), Job: job, MaxQueuedTokens: root.MaxQueuedTokens()}, nil
}

// Encode returns the message of the offer.
func (r *OfferRequest) Encode() (peer.Message, error) {
	offer := &r.Offer
	size := messageBytes + batch.KeySize(offer.Key) + len(offer.Route)
	return marshal(KindOffer, size, batchcallwire.NewRootOfferRequest, func(root batchcallwire.OfferRequest) error {
		root.SetPartition(r.Partition)
		root.SetTokens(offer.Tokens)
		root.SetMaxQueuedTokens(offer.MaxQueuedTokens)
		if err := root.SetRoute(offer.Route); err != nil {
			return err
		}
		return encodeKey(root.NewKey, offer.Key)
	})
}

// DecodeOfferRequest decodes an offer.
func DecodeOfferRequest(body []byte) (*OfferRequest, error) {
	root, err := capnpcodec.Unmarshal(body, batchcallwire.ReadRootOfferRequest)
	if err != nil {
		return nil, err
	}
	r := &OfferRequest{
		Partition: root.Partition(),
		Offer:     batch.Offer{Tokens: root.Tokens(), MaxQueuedTokens: root.MaxQueuedTokens()},
	}
	if r.Offer.Route, err = root.Route(); err != nil {
		return nil, err
	}
	r.Offer.Key, err = decodeKey(root.Key)
	return r, err
}

// Encode returns the message of the request.
func (r *ResultsRequest) Encode() (peer.Message, error) {
	return marshal(KindResults, messageBytes+batch.KeySize(r.Key), batchcallwire.NewRootResultsRequest, func(root batchcallwire.ResultsRequest) error {
		root.SetPartition(r.Partition)
		root.SetStartAfter(uint32(r.StartAfter))
		root.SetWaitMs(uint32(r.Wait.Milliseconds()))
		root.SetMaxBytes(uint32(r.MaxBytes))
		return encodeKey(root.NewKey, r.Key)
	})
}

func encodeKey(add func() (batchwire.Key, error), k batch.Key) error {
	key, err := add()
	if err != nil {
		return err
	}
	return batch.EncodeKey(key, k)
}

func decodeKey(get func() (batchwire.Key, error)) (batch.Key, error) {
	key, err := get()
	if err != nil {
		return batch.Key{}, err
	}
	return batch.DecodeKey(key)
}

// DecodeResultsRequest decodes a request for results.
func DecodeResultsRequest(body []byte) (*ResultsRequest, error) {
	root, err := capnpcodec.Unmarshal(body, batchcallwire.ReadRootResultsRequest)
	if err != nil {
		return nil, err
	}
	key, err := decodeKey(root.Key)
	return &ResultsRequest{
		Partition:  root.Partition(),
		Key:        key,
		StartAfter: int(root.StartAfter()),
		Wait:       time.Duration(root.WaitMs()) * time.Millisecond,
		MaxBytes:   int(root.MaxBytes()),
	}, err
}

// Encode returns the message of the request.
func (r *BodyRequest) Encode() (peer.Message, error) {
	return marshal(KindBody, messageBytes+batch.KeySize(r.Key)+len(r.Identifier), batchcallwire.NewRootBodyRequest, func(root batchcallwire.BodyRequest) error {
		root.SetPartition(r.Partition)
		if err := root.SetIdentifier(r.Identifier); err != nil {
			return err
		}
		return encodeKey(root.NewKey, r.Key)
	})
}

// DecodeBodyRequest decodes a request for a body.
func DecodeBodyRequest(body []byte) (*BodyRequest, error) {
	root, err := capnpcodec.Unmarshal(body, batchcallwire.ReadRootBodyRequest)
	if err != nil {
		return nil, err
	}
	identifier, err := root.Identifier()
	if err != nil {
		return nil, err
	}
	key, err := decodeKey(root.Key)
	return &BodyRequest{Partition: root.Partition(), Key: key, Identifier: identifier}, err
}

// Encode returns the message of the request.
func (r *EndRequest) Encode() (peer.Message, error) {
	return marshal(KindEnd, messageBytes+batch.KeySize(r.Key), batchcallwire.NewRootEndRequest, func(root batchcallwire.EndRequest) error {
		root.SetPartition(r.Partition)
		return encodeKey(root.NewKey, r.Key)
	})
}

// DecodeEndRequest decodes a request to end a job.
func DecodeEndRequest(body []byte) (*EndRequest, error) {
	root, err := capnpcodec.Unmarshal(body, batchcallwire.ReadRootEndRequest)
	if err != nil {
		return nil, err
	}
	key, err := decodeKey(root.Key)
	return &EndRequest{Partition: root.Partition(), Key: key}, err
}
