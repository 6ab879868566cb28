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

// shadowCase adds a route with a longer prefix while items of a batch job wait that have paths under it.
func shadowCase(r *rig) (bool, error) {
	err := r.startSmall(2, 200*time.Millisecond, 20*time.Millisecond, document(1,
		[]any{route("jobs", host, "/jobs/", "batch_processing", "writer", nil)},
		[]any{service("writer", 2), service("cards", 0)}, []any{tenant("partner", "key-partner")}))
	if err != nil {
		return false, err
	}
	job, items := newID(), newItems(60, "/jobs/3/", 10)
	if status := r.submit(host, "/jobs/"+job, "key-partner", job, items, 0, 10*time.Second); status != http.StatusAccepted {
		return false, errors.New("the batch job was not accepted")
	}
	if r.trouble {
		added := map[string]any{"version": 2, "upsert": map[string]any{"routes": []any{route("cards", host, "/jobs/3/", "idempotent", "cards", nil)}}}
		if status := r.configure(http.MethodPatch, 1, added); status != http.StatusOK {
			return false, errors.New("the change was refused")
		}
	}
	time.Sleep(12 * time.Second) // completionDeadlineS after the last call of a client or the operator, and two seconds more
	all, total, err := r.resultsFromAny(host, "key-partner", job)
	if err != nil {
		return false, err
	}
	calm, idle := time.Now(), true
	for _, b := range r.backends {
		b.mutex.Lock()
		idle = idle && b.active == 0 && calm.Sub(b.lastArrival) > 5*time.Second
		b.mutex.Unlock()
	}
	r.logf("client: batch job %s at the end of completionDeadlineS: %d of %d listed, %s; backends had none of its items for 5 s: %v",
		job, len(all), total, states(all), idle)
	held := len(all) == len(items) || !idle
	if !held {
		time.Sleep(35 * time.Second)
		all, total, err = r.resultsFromAny(host, "key-partner", job)
		r.logf("client: batch job %s after retentionS: %d of %d listed, %s %v", job, len(all), total, states(all), err)
	}
	return held, nil
}
