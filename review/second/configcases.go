package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// publicCase adds a batch route with public set, submits a batch job there with a tenant's key, and reads it back.
func publicCase(r *rig) (bool, error) {
	err := r.startSmall(30, 20*time.Millisecond, 10*time.Millisecond, document(1,
		[]any{route("jobs", host, "/jobs/", "batch_processing", "writer", nil)},
		[]any{service("writer", 30), service("cards", 0)}, []any{tenant("partner", "key-partner")}))
	if err != nil {
		return false, err
	}
	prefix := "/jobs/"
	if r.trouble {
		prefix = "/open/"
		added := map[string]any{"version": 2, "upsert": map[string]any{"routes": []any{
			route("open-jobs", host, prefix, "batch_processing", "writer", map[string]any{"public": true}),
		}}}
		if status := r.configure(http.MethodPatch, 1, added); status != http.StatusOK {
			return false, errors.New("the change was refused")
		}
	}
	time.Sleep(3 * time.Second) // longer than configApplyMs
	job, items := newID(), newItems(4, prefix, 5)
	if status := r.submit(host, prefix+job, "key-partner", job, items, 0, 10*time.Second); status != http.StatusAccepted {
		return false, errors.New("the batch job was not accepted")
	}
	time.Sleep(3 * time.Second) // longer than settlementMs
	held := true
	for n := range 6 {
		answer := send(http.MethodGet, r.frontend(n%3+1), host, "/-/lots/"+job+"?startAfter=0", "key-partner", nil, nil, 3*time.Second)
		r.logf("client: GET /-/lots/%s with the tenant's key at proxy %d: %d %.120s", job, n%3+1, answer.status, answer.body)
		held = held && answer.status != http.StatusNotFound && answer.status != http.StatusGone
	}
	runs := 0
	for _, b := range r.backends {
		for _, i := range items {
			runs += b.runs(i.Identifier)
		}
	}
	r.logf("the backends ran %d of %d items", runs, len(items))
	if err := r.endOnPrefix(prefix); err != nil {
		r.logf("%v", err) // the second part is recorded only
	}
	return held, nil
}

// endOnPrefix submits a long batch job and ends it at once. It records when its last item reached a backend; that is not part of
// the check.
func (r *rig) endOnPrefix(prefix string) error {
	job, items := newID(), newItems(200, prefix, 300)
	if status := r.submit(host, prefix+job, "key-partner", job, items, 0, 10*time.Second); status != http.StatusAccepted {
		return errors.New("the second batch job was not accepted")
	}
	answer := send(http.MethodDelete, r.frontend(1), host, "/-/lots/"+job, "key-partner", nil, nil, 3*time.Second)
	ended := time.Now()
	r.logf("client: DELETE /-/lots/%s with the tenant's key: %d", job, answer.status)
	time.Sleep(12 * time.Second)
	last := ended
	for _, b := range r.backends {
		b.mutex.Lock()
		if b.lastArrival.After(last) {
			last = b.lastArrival
		}
		b.mutex.Unlock()
	}
	r.logf("the last item reached a backend %.1f s after the end was answered (cancellationMs is 3 s)", last.Sub(ended).Seconds())
	return nil
}

// patchCase sends a PATCH whose result cannot be read, and then ordinary requests.
func patchCase(r *rig) (bool, error) {
	err := r.startSmall(30, 5*time.Millisecond, 2*time.Millisecond, document(1,
		[]any{route("cards", host, "/cards/", "idempotent", "cards", nil)},
		[]any{service("writer", 30), service("cards", 0)}, []any{tenant("partner", "key-partner")}))
	if err != nil {
		return false, err
	}
	acknowledged := false
	if r.trouble {
		invalid := map[string]any{"version": 2, "upsert": map[string]any{"version": []any{map[string]any{"name": "2"}}}}
		acknowledged = r.configure(http.MethodPatch, 1, invalid) == http.StatusOK
	}
	readable, err := r.configurationIsReadable()
	if err != nil {
		return false, err
	}
	served := 0
	for second := range 12 {
		counts := map[int]int{}
		for n := range 30 {
			answer := send(http.MethodGet, r.frontend(n%3+1), host, fmt.Sprintf("/cards/%d", n), "key-partner",
				map[string]string{"Nickelline-Attempt-Id": newID(), "Nickelline-Deadline-Remaining-Ms": "1000"}, nil, time.Second)
			counts[answer.status]++
		}
		r.logf("clients: second %d, 30 requests by status: %v", second, counts)
		if second >= 6 {
			served += counts[http.StatusOK]
		}
		time.Sleep(time.Second)
	}
	r.logf("the change was acknowledged: %v; the configuration in force can be read: %v; served of the last 180 requests: %d",
		acknowledged, readable, served)
	if !r.trouble && served < 170 {
		return false, errors.New("the requests were not served")
	}
	if acknowledged {
		r.recordAfterwards()
	}
	return !acknowledged || readable && served > 0, nil
}

// recordAfterwards records what the processes log, and whether a valid change ends it. That is not part of the check.
func (r *rig) recordAfterwards() {
	for name := range r.processes {
		text, _ := os.ReadFile(filepath.Join(r.work, name+".log"))
		r.logf("%s has logged \"decode version failed\" %d times", name, strings.Count(string(text), "decode version failed"))
	}
	status := r.configure(http.MethodPatch, 2, map[string]any{"version": 3})
	time.Sleep(2 * time.Second)
	answer := send(http.MethodGet, r.frontend(1), host, "/cards/0", "key-partner",
		map[string]string{"Nickelline-Attempt-Id": newID(), "Nickelline-Deadline-Remaining-Ms": "1000"}, nil, time.Second)
	r.logf("a valid change was answered %d; a request 2 s after it: %d", status, answer.status)
}

// configurationIsReadable reports whether the configuration in force has a number as its version, as PROTOCOL.md says.
func (r *rig) configurationIsReadable() (bool, error) {
	for n := range 9 {
		answer := send(http.MethodGet, r.operator(n%3+1), "", "/-/configuration", "", nil, nil, 2*time.Second)
		if answer.status != http.StatusOK {
			continue
		}
		r.logf("operator: GET: %d %s", answer.status, answer.body)
		var read struct {
			Version *uint64 `json:"version"`
		}
		err := json.Unmarshal(answer.body, &read)
		return err == nil && read.Version != nil, nil
	}
	return false, errors.New("no node answered with the configuration")
}
