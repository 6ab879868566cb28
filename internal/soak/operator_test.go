package soak

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"nickelline/internal/pause"
)

const (
	callTimeout      = time.Second
	maxIdleRoutes    = 3
	maxJobRoutes     = 12
	jobRouteOneIn    = 4           // changes that add a route of batch jobs
	changePause      = time.Second // mean time between two changes
	keyRotatedOneIn  = 3           // changes that take a key away
	retentionS       = 600
	maxQueuedTokens  = 720_000
	completionTarget = 12 * time.Second
)

// acknowledgement is a version that the tier has acknowledged.
type acknowledgement struct {
	version int
	key     int // number of the rotating key in this version
	at      time.Time
}

// operator changes the configuration, one version after the other, and reads it.
type operator struct {
	tier   *tier
	record *record
	random *rand.Rand
	http   http.Client

	version    int   // of the latest order
	idleRoutes []int // versions that have added an idle route, the latest last
	jobRoutes  []int // versions that have added a route of batch jobs, which stays
	timeoutMs  int

	mutex        sync.Mutex
	key          int // number of the rotating key in the latest order
	acknowledged []acknowledgement
	newestRoute  string    // of batch jobs, by the latest acknowledged version; empty before the first was added
	newestAt     time.Time // when it was acknowledged
}

func newOperator(tier *tier, record *record, random *rand.Rand) *operator {
	return &operator{
		tier: tier, record: record, random: random, timeoutMs: int(routeTimeout.Milliseconds()),
		http: http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// putFirst puts the first configuration, and reports whether it was acknowledged in time.
func (o *operator) putFirst(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if o.change(ctx) {
		return true
	}
	o.record.misbehaved("the first configuration was not acknowledged within %v", startTimeout)
	for _, p := range o.tier.ofRole(roleControl) {
		p.dumpStacks(p.ended)
	}
	return false
}

// run changes and reads the configuration until changing ends. The last change is sent until it is acknowledged.
func (o *operator) run(ctx, changing context.Context) {
	for pause.For(changing, between(o.random, 0, 2*changePause)) {
		o.change(ctx)
		o.read(ctx, o.anyControl())
	}
}

func (o *operator) anyControl() int { return o.random.IntN(*controls) }

// change makes a new version and sends it until it is acknowledged or the context ends.
func (o *operator) change(ctx context.Context) bool {
	former := o.version
	o.version += 1 + o.random.IntN(3)
	if o.random.IntN(2) == 0 {
		o.timeoutMs = int(routeTimeout.Milliseconds()) + o.random.IntN(100)
	}
	if o.random.IntN(keyRotatedOneIn) == 0 {
		o.rotateKey()
	}
	if former > 0 && len(o.jobRoutes) < maxJobRoutes && o.random.IntN(jobRouteOneIn) == 0 {
		o.jobRoutes = append(o.jobRoutes, o.version)
	}
	o.idleRoutes = append(o.idleRoutes, o.version)
	o.idleRoutes = o.idleRoutes[max(0, len(o.idleRoutes)-maxIdleRoutes):]
	body, err := json.Marshal(o.configuration())
	if err != nil {
		panic(err) // the configuration has only maps, lists, texts and numbers
	}
	for {
		status, reason := o.put(ctx, former, body)
		switch {
		case status == http.StatusOK:
			o.acknowledge()
			return true
		case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			o.record.violation("CONFIG: version %d, built on %d, was refused with %d: %s", o.version, former, status, reason)
			return false
		}
		if !pause.For(ctx, between(o.random, pollPause, 4*pollPause)) {
			return false
		}
	}
}

func (o *operator) acknowledge() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	o.acknowledged = append(o.acknowledged, acknowledgement{version: o.version, key: o.key, at: now})
	if len(o.jobRoutes) > 0 && o.jobRoutes[len(o.jobRoutes)-1] == o.version {
		o.newestRoute, o.newestAt = jobRouteName(o.version), now
	}
}

// jobRouteName returns the name of a route of batch jobs that a version has added.
func jobRouteName(version int) string { return fmt.Sprintf("%s-%d", routeJobs, version) }

// newestJobRoute returns the newest acknowledged route of batch jobs, or the first one if none was added.
func (o *operator) newestJobRoute() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return cmp.Or(o.newestRoute, routeJobs)
}

// mayBeUnknown reports whether a proxy may not have heard yet of a route of batch jobs.
func (o *operator) mayBeUnknown(route string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return route != routeJobs && time.Since(o.newestAt) < configApply+recovery
}

// rotateKey gives the rotating tenant another key and takes the former one away.
func (o *operator) rotateKey() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.key++
}

// rotatingKey returns the number of the key in the latest order.
func (o *operator) rotatingKey() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.key
}

// revokedAt returns when the loss of a rotating key was acknowledged, and false if it was not.
func (o *operator) revokedAt(key int) (time.Time, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, a := range o.acknowledged {
		if a.key > key {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// rotatingKeyText returns the rotating key with a number.
func rotatingKeyText(number int) string { return fmt.Sprintf("rotating-key-%d", number) }

// acknowledgedBefore returns the newest version that was acknowledged before a time.
func (o *operator) acknowledgedBefore(at time.Time) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	newest := 0
	for _, a := range o.acknowledged {
		if a.at.Before(at) {
			newest = a.version
		}
	}
	return newest
}

// put sends a configuration once, and returns the status, 0 if there was no answer.
func (o *operator) put(ctx context.Context, former int, body []byte) (status int, reason string) {
	target := fmt.Sprintf("http://%s/-/configuration", o.tier.layout.control(o.anyControl()))
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		panic(err) // the method and the URL are valid
	}
	r.Header.Set("If-Match", fmt.Sprint(former))
	r.Header.Set("Content-Type", "application/json")
	response, err := o.http.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body) // only for the report
	return response.StatusCode, string(content)
}

// read reads the configuration at a control node and returns its version, 0 if there was no answer. It records a version that
// is older than allowed.
func (o *operator) read(ctx context.Context, control int) int {
	oldest := o.acknowledgedBefore(time.Now().Add(-configApply))
	target := fmt.Sprintf("http://%s/-/configuration", o.tier.layout.control(control))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		panic(err) // the method and the URL are valid
	}
	response, err := o.http.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var found struct{ Version int }
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&found) != nil {
		return 0
	}
	if found.Version < oldest {
		o.record.violation("CONFIG: control-%d shows version %d, and %d was acknowledged %v before", control, found.Version, oldest, configApply)
	}
	return found.Version
}

type object = map[string]any

// configuration returns the current version in the form of the operator's API.
func (o *operator) configuration() object {
	return object{
		"version": o.version,
		"routes":  o.routes(),
		"services": []object{
			{
				"name": serviceEngine, "healthPath": healthPath, "connectionLimit": 500, "protocol": "h1", "transportSecurity": false,
				"inferenceEngine": object{
					"capacitySlots": backendSlots, "cacheTokenCapacity": 1_000_000, "tokenSizeBytes": 131_072, "linkMbps": 10_000.0,
					"stride": 1, "models": []object{{"name": "m"}},
				},
			},
			{"name": serviceCards, "healthPath": healthPath, "connectionLimit": 500, "protocol": "h1", "transportSecurity": false},
		},
		"limits": object{"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
		"tenants": []object{
			{"name": tenantCalm, "apiKeys": []string{keyCalm}, "priority": 0, "ratePerS": 0, "burstSize": 0},
			{"name": "rotating", "apiKeys": []string{rotatingKeyText(o.rotatingKey())}, "priority": 0, "ratePerS": 0, "burstSize": 0},
			{"name": tenantHot, "apiKeys": []string{keyHot}, "priority": 0, "ratePerS": hotRate, "burstSize": hotRate},
		},
	}
}

func (o *operator) routes() []object {
	route := func(name, kind, service string, more object) object {
		r := object{
			"name": name, "hostname": host, "pathPrefix": "/" + name + "/", "routeKind": kind, "timeoutMs": o.timeoutMs,
			"targetLatencyMs": 250, "priority": 0, "service": service, "maxAttempts": maxAttempts, "public": false,
			"sessionAffinity": false, "resumable": false,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	engine := object{"sessionAffinity": true, "resumable": true, "gap_aim_ms": 150}
	job := object{
		"sessionAffinity": true, "resumable": true, "gap_aim_ms": 150, "priority": 1, "maxAttempts": jobAttempts,
		"completionTargetMs": completionTarget.Milliseconds(), "retentionS": retentionS, "maxQueuedTokens": maxQueuedTokens,
	}
	routes := []object{
		route(routeCard, "idempotent", serviceCards, nil),
		route(routeOrder, "non_idempotent", serviceCards, nil),
		route(routeChat, "streaming", serviceEngine, engine),
		route(routeJobs, "batch_processing", serviceEngine, job),
	}
	for _, version := range o.jobRoutes {
		routes = append(routes, route(jobRouteName(version), "batch_processing", serviceEngine, job))
	}
	for _, version := range o.idleRoutes {
		routes = append(routes, route(fmt.Sprintf("idle-%d", version), "idempotent", serviceCards, nil))
	}
	return routes
}
