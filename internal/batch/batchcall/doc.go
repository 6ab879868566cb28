// Package batchcall defines the messages by which proxies use the batch jobs that stores keep.
//
// A store that is not the head of the partition answers a submission, an offer or an end with a Redirect and does nothing. An
// error is sent as its fault.Kind: NotReady and QuotaExceeded guarantee that nothing was changed, NotFound that the job or item
// does not exist, and Unclear that nothing is guaranteed.
//
// Files in reading order: messages.go, and their encodings in request_codec.go and reply_codec.go.
package batchcall
