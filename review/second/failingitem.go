package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrivals records when an item reached backends, and from which port last.
type arrivals struct {
	mutex sync.Mutex
	times []time.Time
	port  int
}

func (a *arrivals) add(remote string) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	_, port, _ := net.SplitHostPort(remote)
	a.port, _ = strconv.Atoi(port)
	a.times = append(a.times, time.Now())
	return len(a.times)
}

func (a *arrivals) count() (count, port int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.times), a.port
}

// lastAfter returns when the item last reached a backend, and whether that was after a time.
func (a *arrivals) lastAfter(when time.Time) (last time.Time, after bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(a.times) == 0 {
		return time.Time{}, false
	}
	last = a.times[len(a.times)-1]
	return last, last.After(when)
}

// failingItemCase kills the head of a partition while it tries an item that every backend answers with 500.
func failingItemCase(r *rig) (bool, error) {
	const (
		maxAttempts = 20
		perHead     = 15              // answers of 500 before a head is killed
		lost        = 6 * time.Second // down and catchUpS: one store at a time
		inTouch     = 3 * time.Second // contactWindowMs
	)
	err := r.startSmall(10, 5*time.Millisecond, 5*time.Millisecond, document(1,
		[]any{route("jobs", host, "/jobs/", "batch_processing", "writer", map[string]any{"maxAttempts": maxAttempts, "retentionS": 110})},
		[]any{service("writer", 10), service("cards", 0)}, []any{tenant("partner", "key-partner")}))
	if err != nil {
		return false, err
	}
	var seen arrivals
	for _, b := range r.backends {
		b.setServe(func(b *backend, w http.ResponseWriter, q *http.Request, _ []byte) {
			n := seen.add(q.RemoteAddr)
			r.logf("backend %s answers 500, answer %d for the item", b.identifier, n)
			w.Header().Set("Nickelline-Response-Seal", b.identifier)
			w.WriteHeader(http.StatusInternalServerError)
		})
	}
	job, items := newID(), newItems(1, "/jobs/1/", 5)
	if status := r.submit(host, "/jobs/"+job, "key-partner", job, items, 0, 10*time.Second); status != http.StatusAccepted {
		return false, errors.New("the batch job was not accepted")
	}
	kills, before, started := 0, 0, time.Now().Add(-lost)
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		count, port := seen.count()
		if after, late := seen.lastAfter(started.Add(inTouch)); late && count > 3*maxAttempts {
			r.logf("the item reached a backend after %d answers of 500 (maxAttempts is %d), %.1f s after the last start of a store",
				count-1, maxAttempts, after.Sub(started).Seconds())
			return false, nil
		}
		if !r.trouble || kills == 3 || count < before+perHead || time.Since(started) < lost {
			if all, _, status := r.results(1, host, "key-partner", job); status == http.StatusOK && len(all) == 1 {
				break
			}
			time.Sleep(100 * time.Millisecond)
			continue
		}
		head := r.storeOfPort(port)
		if head == "" {
			continue
		}
		r.killAndWait(head)
		kills++
		before, _ = seen.count()
		time.Sleep(300 * time.Millisecond)
		if err := r.start(head); err != nil {
			return false, err
		}
		started = time.Now()
	}
	all, _, err := r.resultsFromAny(host, "key-partner", job)
	count, _ := seen.count()
	r.logf("%d answers of 500, %d kills; the job: %s", count, kills, states(all))
	if !r.trouble && count != maxAttempts {
		return false, fmt.Errorf("%d answers of 500 without the disruption", count)
	}
	return true, err
}

// storeOfPort returns the name of the store process that has a TCP socket with a local port, or an empty string.
func (r *rig) storeOfPort(port int) string {
	sockets := map[string]bool{}
	file, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port)) {
			sockets["socket:["+fields[9]+"]"] = true
		}
	}
	for name, p := range r.processes {
		if p.role != "store" {
			continue
		}
		folder := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
		entries, _ := os.ReadDir(folder)
		for _, entry := range entries {
			if target, err := os.Readlink(folder + "/" + entry.Name()); err == nil && sockets[target] {
				return name
			}
		}
	}
	return ""
}
