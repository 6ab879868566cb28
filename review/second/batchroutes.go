package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const host = "shared.example"

// startSmall starts six backends, the list and the tier, and puts the first configuration in force.
func (r *rig) startSmall(slots int, work, token time.Duration, first map[string]any) error {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for n := 1; n <= 6; n++ {
		name := "writer"
		if n > 3 {
			name = "cards"
		}
		if _, err := r.startBackend(n, name, zones[(n-1)%3], slots, work, token); err != nil {
			return err
		}
	}
	var err error
	if r.list, err = startList(r.listAddress(), r.backends); err != nil {
		return err
	}
	if err := r.startTier(); err != nil {
		return err
	}
	if status := r.configure(http.MethodPut, 0, first); status != http.StatusOK {
		return fmt.Errorf("the first configuration was answered %d", status)
	}
	return r.awaitReady()
}

// shadowCase adds a route with a longer prefix while items of a batch job wait that have paths under it. A second job of the same
// tenant, whose items have other paths, is submitted after that.
func shadowCase(r *rig) (bool, error) {
	err := r.startSmall(2, 200*time.Millisecond, 20*time.Millisecond, document(1,
		[]any{route("jobs", host, "/jobs/", "batch_processing", "writer", nil)},
		[]any{service("writer", 2), service("cards", 0)}, []any{tenant("partner", "key-partner")}))
	if err != nil {
		return false, err
	}
	jobs := []string{newID(), newID()}
	items := [][]item{newItems(60, "/jobs/3/", 10), newItems(20, "/jobs/9/", 10)}
	if status := r.submit(host, "/jobs/"+jobs[0], "key-partner", jobs[0], items[0], 0, 10*time.Second); status != http.StatusAccepted {
		return false, errors.New("the first batch job was not accepted")
	}
	if r.trouble {
		added := map[string]any{"version": 2, "upsert": map[string]any{"routes": []any{route("cards", host, "/jobs/3/", "idempotent", "cards", nil)}}}
		if status := r.configure(http.MethodPatch, 1, added); status != http.StatusOK {
			return false, errors.New("the change was refused")
		}
	}
	if status := r.submit(host, "/jobs/"+jobs[1], "key-partner", jobs[1], items[1], 0, 10*time.Second); status != http.StatusAccepted {
		return false, errors.New("the second batch job was not accepted")
	}
	// completionDeadlineS after the last call of a client or the operator is over, and so are the 20 s in which a failure at a backend
	// would excuse an item.
	time.Sleep(22 * time.Second)
	whole, err := r.readJobs("22 s after the last call", jobs, items)
	if err != nil {
		return false, err
	}
	now, idle := time.Now(), true
	for _, b := range r.backends {
		b.mutex.Lock()
		idle = idle && len(b.running) == 0 && b.waiting == 0 && now.Sub(b.lastArrival) > 20*time.Second
		b.mutex.Unlock()
	}
	r.logf("no backend had any request in the last 20 s: %v", idle)
	if whole || !idle {
		return true, nil
	}
	time.Sleep(25 * time.Second)
	if _, err := r.readJobs("after retentionS of the first", jobs, items); err != nil {
		r.logf("%v", err)
	}
	return false, nil
}

// readJobs records how many items of the jobs are listed, and reports whether all are.
func (r *rig) readJobs(when string, jobs []string, items [][]item) (whole bool, err error) {
	whole = true
	for n, job := range jobs {
		all, total, err := r.resultsFromAny(host, "key-partner", job)
		if err != nil {
			return false, err
		}
		r.logf("client: batch job %s %s: %d of %d listed, %s", job, when, len(all), total, states(all))
		whole = whole && len(all) == len(items[n])
	}
	return whole, nil
}
