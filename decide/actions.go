package decide

import "time"

// Action is something that the caller must do. The types with the method action are the only
// implementations.
type Action interface{ action() }

// The actions.
type (
	// Send starts an attempt. The attempts of a request are numbered 0, 1, 2 in the order of their
	// Sends.
	Send struct {
		ID      RequestID
		Backend BackendID
		Timeout time.Duration // 0: until the client stops waiting
	}
	// Refuse is a final answer; it promises the client that a retry does no harm.
	Refuse struct {
		ID         RequestID
		RetryAfter time.Duration // how long the client should wait; 0: no advice
	}
	// Fail is a final answer; the request may have run.
	Fail struct{ ID RequestID }
	// CancelAttempt ends an attempt without waiting for its answer.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// SetTimer asks for a TimerFired event.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// Probe asks for a check of a backend, which ends with ProbeEnded.
	Probe struct{ Backend BackendID }
	// SendMessage sends data to one node or to all.
	SendMessage struct {
		To    int
		ToAll bool
		Data  []byte
	}
	// Subscribe starts or stops the subscription to list changes from discovery.
	Subscribe struct{ On bool }
	// FetchList asks discovery for the full list once.
	FetchList struct{}
	// CloseIdle closes this node's idle connections to a backend.
	CloseIdle struct{ Backend BackendID }
	// Log is a log line for operators.
	Log struct{ Line string }
)

func (Send) action()          {}
func (Refuse) action()        {}
func (Fail) action()          {}
func (CancelAttempt) action() {}
func (SetTimer) action()      {}
func (Probe) action()         {}
func (SendMessage) action()   {}
func (Subscribe) action()     {}
func (FetchList) action()     {}
func (CloseIdle) action()     {}
func (Log) action()           {}
