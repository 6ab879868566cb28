package store

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"nickelline/internal/admission"
	"nickelline/internal/batch"
	"nickelline/internal/discovery"
	"nickelline/internal/fault"
	"nickelline/internal/forward"
	"nickelline/internal/view"
)

// testTerm is the term of a fakeReplica that is the head.
const testTerm = 4

// fakeReplica is a chain of one replica that commits at once.
type fakeReplica struct {
	mutex        sync.Mutex
	state        *state
	sequence     uint64
	head         bool
	barrierError error // returned by Barrier
	proposeError error // returned by Propose instead of committing the command
	commits      int
	// failCommandError is returned for commands that record failures of items, instead of committing them.
	failCommandError error
	failCommands     int // commands that record failures
	// beforeAppend is called before results are committed.
	beforeAppend   func(ctx context.Context)
	unclearAppends int // number of further appends that are committed but return errTestUnclear
}

func (f *fakeReplica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if decoded, err := batch.DecodeCommand(command); err == nil && decoded.Append != nil && f.beforeAppend != nil {
		f.beforeAppend(ctx)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.proposeError != nil {
		return nil, f.proposeError
	}
	if decoded, err := batch.DecodeCommand(command); err == nil && decoded.Fail != nil {
		f.failCommands++
		if f.failCommandError != nil {
			return nil, f.failCommandError
		}
	}
	f.sequence++
	f.commits++
	outcome := f.state.Apply(f.sequence, command)
	if decoded, err := batch.DecodeCommand(command); err == nil && decoded.Append != nil && f.unclearAppends > 0 {
		f.unclearAppends--
		return nil, errTestUnclear
	}
	return outcome, nil
}

func (f *fakeReplica) ProposeInTerm(ctx context.Context, term uint64, command []byte) ([]byte, error) {
	if term != f.HeadTerm() {
		return nil, errTestNotReady
	}
	return f.Propose(ctx, command)
}

func (f *fakeReplica) HeadTerm() uint64 {
	if f.IsHead() {
		return testTerm
	}
	return 0
}

func (f *fakeReplica) Barrier(context.Context) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.barrierError
}

func (f *fakeReplica) IsHead() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.head
}

func (f *fakeReplica) View() view.View {
	return view.View{Chain: 1, Epoch: 4, Members: []view.Member{{Replica: 9, Address: netip.MustParseAddrPort("10.0.0.9:1")}}}
}

func (f *fakeReplica) set(change func(*fakeReplica)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(f)
}

func newTestPartition() (*partition, *fakeReplica) {
	p := &partition{number: 1, state: newState(), clock: newHeadClock(), readConfirmationAge: time.Second}
	replica := &fakeReplica{state: p.state, head: true}
	p.replica = replica
	return p, replica
}

var errTestUnclear = fault.New(fault.Unclear, "the answer is lost")

var errTestNotReady = fault.New(fault.NotReady, "no view")

// backend is a fake backend that streams as many events as the request asks for. Hooks may change its behavior.
type backend struct {
	mutex sync.Mutex
	// before is called with each request. If it returns true, it has written the response.
	before func(w http.ResponseWriter, r *http.Request) bool
	// beforeEvent is called before each event. If it returns false, the stream is aborted.
	beforeEvent     func(r *http.Request, id int) bool
	discardRequests bool // do not keep the requests and their bodies
	requests        []*http.Request
	bodies          []string
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.mutex.Lock()
	if !b.discardRequests {
		b.requests = append(b.requests, r)
		b.bodies = append(b.bodies, string(body))
	}
	before, beforeEvent := b.before, b.beforeEvent
	b.mutex.Unlock()
	attempt := r.Header.Get(forward.HeaderAttemptID)
	w.Header().Set(forward.HeaderAttemptID, attempt)
	w.Header().Set(forward.HeaderResponseSeal, "s")
	if before != nil && before(w, r) {
		return
	}
	w.Header().Set("Content-Type", forward.EventStream)
	events, _ := strconv.Atoi(r.Header.Get("X-Events"))
	last, _ := strconv.Atoi(r.Header.Get(forward.HeaderLastEventID))
	for id := last + 1; id <= events; id++ {
		if beforeEvent != nil && !beforeEvent(r, id) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, eventData(attempt, id))
		http.NewResponseController(w).Flush()
	}
}

func (b *backend) receivedRequests() []*http.Request {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]*http.Request(nil), b.requests...)
}

// fakeAdmission admits all batch items of testService, to its backends in turn, while refuse is not set.
type fakeAdmission struct {
	mutex      sync.Mutex
	backends   []discovery.Backend
	next       int
	refuse     bool
	refused    int
	permits    int // permits that have not been given back
	maxPermits int // greatest value of permits
	outcomes   []admission.Outcome
	started    int
}

func (f *fakeAdmission) Pick(service string, _ time.Time, r admission.Request) (discovery.Backend, Permit, *admission.Refusal) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if service != testService || !r.Batch || f.refuse {
		f.refused++
		return discovery.Backend{}, nil, &admission.Refusal{RetryAfter: time.Millisecond}
	}
	f.permits++
	f.maxPermits = max(f.maxPermits, f.permits)
	f.next++
	return f.backends[f.next%len(f.backends)], &fakePermit{admission: f}, nil
}

func (f *fakeAdmission) set(change func(*fakeAdmission)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(f)
}

type fakePermit struct{ admission *fakeAdmission }

func (p *fakePermit) Started(time.Time) {
	p.admission.set(func(f *fakeAdmission) { f.started++ })
}

func (p *fakePermit) Done(_ time.Time, outcome admission.Outcome, _ *admission.Load) {
	p.admission.set(func(f *fakeAdmission) {
		f.permits--
		f.outcomes = append(f.outcomes, outcome)
	})
}
