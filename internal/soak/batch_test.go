package soak

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"nickelline/internal/pause"
	"nickelline/internal/standin"
)

const (
	routeJobs         = "jobs"
	jobAttempts       = 3 // failures of an item after which it may be given up
	maxItems          = 8
	maxItemTokens     = 10
	readPause         = 400 * time.Millisecond
	batchCallTimeout  = 2500 * time.Millisecond
	submissionTimeout = 8 * time.Second
	newestRouteOneIn  = 2 // jobs that are submitted on the route that was added last
)

// item is an item of a batch job.
type item struct {
	Identifier string            `json:"identifier"`
	Path       string            `json:"path"`
	Headers    map[string]string `json:"headers"`
	Body       string            `json:"body"`
	TokenCount int               `json:"tokenCount"`
	tokens     int
}

// result is a result as a page of results lists it.
type result struct {
	Identifier string
	State      string
	Content    string
}

// job is a batch job with what its client knows of it.
type job struct {
	identifier string
	route      string
	items      []item
	accepted   bool
	unclear    bool           // a try had no answer that promises that nothing runs
	results    map[int]result // by position
	complete   bool
}

// submitter submits batch jobs and reads their results.
type submitter struct {
	tier     *tier
	record   *record
	operator *operator
	http     http.Client
	running  sync.WaitGroup

	mutex  sync.Mutex
	random *rand.Rand
	jobs   []*job
}

func newSubmitter(tier *tier, record *record, operator *operator, random *rand.Rand) *submitter {
	return &submitter{
		tier: tier, record: record, operator: operator, random: random,
		http: http.Client{Timeout: batchCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// run submits jobs until submitting ends. The jobs are read until they are complete or the context ends.
func (s *submitter) run(ctx, submitting context.Context) {
	for pause.For(submitting, s.between(0, 2**jobPause)) {
		j := s.newJob()
		s.jobs = append(s.jobs, j)
		s.running.Go(func() { s.follow(ctx, j) })
	}
}

// finish waits until all accepted jobs are complete, but not longer than the given time.
func (s *submitter) finish(ctx context.Context, limit time.Duration) {
	done := make(chan struct{})
	go func() { s.running.Wait(); close(done) }()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (s *submitter) between(low, high time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return between(s.random, low, high)
}

func (s *submitter) number(n int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(n)
}

func (s *submitter) newJob() *job {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	j := &job{identifier: fmt.Sprintf("%016x", s.random.Uint64()), route: routeJobs, results: map[int]result{}}
	if s.random.IntN(newestRouteOneIn) == 0 {
		j.route = s.operator.newestJobRoute()
	}
	for i := range 1 + s.random.IntN(maxItems) {
		tokens := 1 + s.random.IntN(maxItemTokens)
		identifier := fmt.Sprintf("%s-%d", j.identifier, i)
		j.items = append(j.items, item{
			Identifier: identifier,
			Path:       fmt.Sprintf("/%s/%s/%d", j.route, j.identifier[:4], i),
			Headers: map[string]string{
				headerModel: "m", headerTokenUsage: fmt.Sprintf("10,%d", tokens), headerPromptPrefix: identifier[:16] + ":10",
			},
			Body:       base64.StdEncoding.EncodeToString([]byte(identifier)),
			TokenCount: 10 + tokens,
			tokens:     tokens,
		})
	}
	return j
}

// follow submits a job and reads its results.
func (s *submitter) follow(ctx context.Context, j *job) {
	if !s.submit(ctx, j) {
		return
	}
	acceptedAt := time.Now()
	for !j.complete && pause.For(ctx, s.between(0, 2*readPause)) {
		s.readPage(ctx, j, acceptedAt)
	}
}

// submit sends a job until it is accepted, or for submissionTimeout.
func (s *submitter) submit(ctx context.Context, j *job) bool {
	body, err := json.Marshal(map[string]any{"batchItems": j.items})
	if err != nil {
		panic(err) // the items have only texts and numbers
	}
	for began := time.Now(); time.Since(began) < submissionTimeout; {
		status := s.call(ctx, http.MethodPost, "/"+j.route+"/"+j.identifier[:4], body, j.identifier, nil)
		switch status {
		case http.StatusAccepted:
			j.accepted = true
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		case http.StatusNotFound:
			if !s.operator.mayBeUnknown(j.route) {
				s.record.violation("DENIED: batch job %s on %s was answered %d", j.identifier, j.route, status)
				return false
			}
		case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden:
			s.record.violation("DENIED: batch job %s was answered %d", j.identifier, status)
			return false
		default:
			j.unclear = true
		}
		if !pause.For(ctx, s.between(0, 2*readPause)) {
			return false
		}
	}
	return false
}

// call sends a call of the batch API to any proxy and decodes a successful answer. It returns the status, 0 if there was no
// answer.
func (s *submitter) call(ctx context.Context, method, path string, body []byte, attempt string, into any) int {
	target := fmt.Sprintf("http://%s%s", s.tier.layout.client(s.number(*proxies)), path)
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		panic(err) // the method and the URL are valid
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+keyCalm)
	r.Header.Set(headerWait, "500")
	if attempt != "" {
		r.Header.Set(headerAttemptID, attempt)
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := s.http.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if into != nil && response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(into) != nil {
		return 0
	}
	return response.StatusCode
}

// page is an answer of the batch API with results.
type page struct {
	Total     int
	NextToken int
	Results   []result
}

// readPage reads the results from the first one that is missing or, at times, from the start, and checks them.
func (s *submitter) readPage(ctx context.Context, j *job, acceptedAt time.Time) {
	from := len(j.results)
	if s.number(4) == 0 {
		from = 0
	}
	var p page
	status := s.call(ctx, http.MethodGet, fmt.Sprintf("/-/lots/%s?startAfter=%d", j.identifier, from), nil, "", &p)
	switch status {
	case http.StatusOK:
		s.checkPage(j, from, &p)
	case http.StatusNotFound, http.StatusGone:
		s.record.violation("LOST: batch job %s was answered %d, %v after its 202", j.identifier, status, time.Since(acceptedAt))
	}
}

// checkPage checks a page of results against what is known.
func (s *submitter) checkPage(j *job, from int, p *page) {
	if p.Total != len(j.items) || p.NextToken != from+len(p.Results) {
		s.record.violation("MIXED: batch job %s: total %d and nextToken %d, want %d and %d",
			j.identifier, p.Total, p.NextToken, len(j.items), from+len(p.Results))
	}
	if p.NextToken < len(j.results) && len(p.Results) == 0 {
		s.record.violation("LOST: batch job %s has nothing at position %d, which was read before", j.identifier, from)
	}
	for i, r := range p.Results {
		s.checkResult(j, from+i, r)
	}
	j.complete = len(j.results) == len(j.items)
}

// checkResult checks a result at a position.
func (s *submitter) checkResult(j *job, position int, r result) {
	if known, found := j.results[position]; found {
		if known != r {
			s.record.violation("TWICE: batch job %s, position %d: got %+v, read before %+v", j.identifier, position, r, known)
		}
		return
	}
	for other, known := range j.results {
		if known.Identifier == r.Identifier {
			s.record.violation("TWICE: item %s stands at positions %d and %d", r.Identifier, other, position)
		}
	}
	j.results[position] = r
	for _, it := range j.items {
		if it.Identifier != r.Identifier {
			continue
		}
		s.checkItem(it, r)
		return
	}
	s.record.violation("MIXED: item %s does not belong to batch job %s", r.Identifier, j.identifier)
}

// checkItem checks that an item is completed with its whole text, or was given up after jobAttempts failures.
func (s *submitter) checkItem(it item, r result) {
	want := standin.StreamText(it.Identifier, it.tokens)
	if r.State == "completed" && r.Content == want {
		return
	}
	if failures := s.record.failures(it.Identifier); r.State != "abandoned" || failures < jobAttempts {
		s.record.violation("MIXED: item %s is %s with %q after %d failures, want it completed with %q, or given up after %d",
			r.Identifier, r.State, r.Content, failures, want, jobAttempts)
	}
}
