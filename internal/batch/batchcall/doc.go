// Package batchcall defines the messages between proxies and the stores that keep batch jobs.
//
// A store that is not the head of the partition answers a SubmitRequest, OfferRequest or EndRequest with a Redirect and does
// nothing else. An error is sent as its fault.Kind: NotReady and QuotaExceeded guarantee that nothing was changed, NotFound means
// that the job or item does not exist, and Unclear guarantees nothing.
//
// Files in reading order: messages.go, and their encodings in request_codec.go and reply_codec.go.
package batchcall
