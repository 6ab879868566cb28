package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Headers of the protocol.
const (
	headerAttemptID    = "Nickelline-Attempt-Id"
	headerTenantName   = "Nickelline-Tenant-Name"
	headerNotExecuted  = "Nickelline-Not-Executed"
	headerResponseSeal = "Nickelline-Response-Seal"
	headerDeadline     = "Nickelline-Deadline-Remaining-Ms"
	headerModel        = "Nickelline-Model-Name"
	headerTokenUsage   = "Nickelline-Token-Usage"
	headerPromptPrefix = "Nickelline-Prompt-Prefix"
	headerWait         = "Nickelline-Wait-Timeout-Ms"
)

// execution is a request that a backend has executed.
type execution struct {
	at          time.Time // of its arrival
	backend     string
	tenant      string
	status      int
	spoiled     bool // the backend sent another response a second time on the same connection, before or meanwhile
	interrupted bool // the backend closed the connection before the end of the response
}

// noRotatingKey is the number of the key of requests whose key is never taken away.
const noRotatingKey = -1

// request is a client's request with what came of it.
type request struct {
	attempt  string
	route    string
	key      int // number of the rotating key; noRotatingKey for requests with another key
	process  *process
	sentAt   time.Time
	endedAt  time.Time
	status   int   // 0: no response
	err      error // the connection or the response was interrupted
	timedOut bool  // the client gave up
	excused  bool  // the process was killed or frozen meanwhile
}

// record holds what backends, clients and the operator have seen.
type record struct {
	mutex      sync.Mutex
	executions map[string][]execution // by attempt
	requests   []*request
	violations []string // of promises to clients, submitters and the operator
	processes  []string // processes that do not start, end or go on as they should
}

func newRecord() *record { return &record{executions: map[string][]execution{}} }

// violation records a broken promise.
func (r *record) violation(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, arguments...))
}

// misbehaved records that a process does not start, end or go on as it should.
func (r *record) misbehaved(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.processes = append(r.processes, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, arguments...))
}

func (r *record) executed(attempt string, e execution) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.executions[attempt] = append(r.executions[attempt], e)
}

// failures returns how often an attempt was executed and failed.
func (r *record) failures(attempt string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, e := range r.executions[attempt] {
		if e.status == http.StatusInternalServerError {
			count++
		}
	}
	return count
}

func (r *record) ended(q *request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests = append(r.requests, q)
}
