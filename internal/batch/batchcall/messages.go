package batchcall

import (
	"net/netip"
	"time"

	"nickelline/internal/batch"
	"nickelline/internal/peer"
)

// Kinds of the requests. Their numbers are part of the protocol.
const (
	KindSubmit = peer.BatchKinds + iota
	KindResults
	KindBody
	KindEnd
	KindOffer
)

// SubmitRequest submits a job to the head of a partition.
type SubmitRequest struct {
	Partition uint32
	Job       batch.Job
	// MaxQueuedTokens limits the tokens that the tenant may have queued on the route, this job included. 0 sets no limit.
	MaxQueuedTokens int64
}

// OfferRequest asks the head of a partition whether it would accept a job, before the job's bodies are sent. It changes
// nothing, so that even after a lost answer it is certain that the job was not accepted.
type OfferRequest struct {
	Partition uint32
	Offer     batch.Offer
}

// ResultsRequest reads the results of a job after the first StartAfter results.
type ResultsRequest struct {
	Partition  uint32
	Key        batch.Key
	StartAfter int
	// Wait is how long the store may delay the answer until there is a result. It is sent in milliseconds.
	Wait time.Duration
	// MaxBytes limits the contents of the answer in bytes. The answer has at least one result if there is any.
	MaxBytes int
}

// BodyRequest reads the body of an item that has no result yet.
type BodyRequest struct {
	Partition  uint32
	Key        batch.Key
	Identifier string
}

// EndRequest ends a job.
type EndRequest struct {
	Partition uint32
	Key       batch.Key
}

// Redirect names the head of a partition in the newest view that the answering store knows.
type Redirect struct {
	Epoch uint64
	// Head is invalid if the store knows none.
	Head netip.AddrPort
}

// Reply answers a request of any kind. Redirect is nil if the request was carried out.
type Reply struct {
	Redirect *Redirect
	// Page answers a ResultsRequest.
	Page *batch.Page
	// Body answers a BodyRequest.
	Body []byte
}
