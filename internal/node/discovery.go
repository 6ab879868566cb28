package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	// maxListBytes bounds a list.
	maxListBytes = 4 << 20
	// watchPoll is the time that a call of a watch waits for changes: a path that fails silently is noticed by then.
	watchPoll = 3 * time.Second
	// firstPoll is the same in the call that begins a watch: the module waits for its answer.
	firstPoll = time.Millisecond
	// callTimeout is the time beyond that for which a call may wait its turn.
	callTimeout = 3 * time.Second
	// pollSlack is the same within a watch, which has its turn: an answer that comes later is none.
	pollSlack = time.Second
	// dialTimeout is the time to connect.
	dialTimeout = time.Second
	// minPollInterval is the pause after an agent has answered at once without a change.
	minPollInterval = 50 * time.Millisecond
	// firstRetryWait is the pause after a watch has failed; it doubles up to maxRetryWait.
	firstRetryWait = 200 * time.Millisecond
	maxRetryWait   = 5 * time.Second
	// registryPath is the path of the list.
	registryPath = "/registry/instances"
)

var errNotWhole = errors.New("list: want the whole")

// discovery fetches the list of backends from one address, over connections of its own.
type discovery struct {
	address netip.AddrPort
	client  *http.Client
	log     *slog.Logger
}

func newDiscovery(addr netip.AddrPort, log *slog.Logger) *discovery {
	return &discovery{address: addr, log: log, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxConnsPerHost: 4, MaxIdleConnsPerHost: 2}}}
}

func (d *discovery) call(ctx context.Context, query string, limit time.Duration) (list, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	// An empty body that can't be read again keeps net/http from repeating by itself a call that is reset: all nodes would
	// do so at once, in the time that is left of the old call.
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.address.String()+registryPath+query, io.NopCloser(http.NoBody))
	if err != nil {
		return list{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return list{}, err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(io.LimitReader(resp.Body, maxListBytes)); err != nil {
		return list{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return list{}, fmt.Errorf("discovery answers %s", resp.Status)
	}
	return decodeList(body.Bytes())
}

// fetch fetches the whole list once.
func (d *discovery) fetch(ctx context.Context) (list, error) {
	l, err := d.call(ctx, "", callTimeout)
	if err == nil && !l.full {
		return list{}, errNotWhole
	}
	return l, err
}

// watch calls handle with the changes from a version on, and with the answer to its first call even if it holds none,
// until a call fails; it returns that call's error. If since is nil it begins with the whole list. slack is the time that
// the first call may take.
func (d *discovery) watch(ctx context.Context, since *uint64, slack time.Duration, handle func(list)) error {
	var version uint64
	wait := firstPoll
	for first := true; ; first = false {
		asked := time.Now()
		var l list
		var err error
		if first && since == nil {
			l, err = d.fetch(ctx)
		} else {
			if first {
				version = *since
			}
			l, err = d.call(ctx, fmt.Sprintf("?since=%d&timeout_ms=%d", version, wait.Milliseconds()), wait+slack)
		}
		if err == nil && !l.full && l.version < version { // it counts anew: changes since another count's version are none
			l, err = d.fetch(ctx)
		}
		if err != nil {
			return err
		}
		if first || l.full || len(l.entries) > 0 || l.version != version {
			handle(l)
		}
		// An agent may answer at once, always: that must not become a busy loop. A watch goes on over 200 ms.
		if !first && l.version == version && time.Since(asked) < minPollInterval {
			select {
			case <-ctx.Done():
			case <-time.After(minPollInterval):
			}
		}
		version, wait, slack = l.version, watchPoll, pollSlack
	}
}

// follow keeps a watch, until ctx ends, where lists are pushed and so the module asks for none. What the agent has then
// counts as delivered, also while there is no watch: as soon as the agent is back the node has the drain grace to learn of
// it, for a call that hangs, a pause and the call that is answered.
func (d *discovery) follow(ctx context.Context, since *uint64, grace time.Duration, handle func(list)) {
	slack, last := callTimeout, maxRetryWait
	if grace > 0 {
		slack, last = min(callTimeout, grace/3), min(maxRetryWait, grace/4) // and half as much again, by the jitter
	}
	first := min(firstRetryWait, last)
	retry := first
	for ctx.Err() == nil {
		err := d.watch(ctx, since, slack, func(l list) {
			since, retry = &l.version, first
			handle(l)
		})
		d.log.Debug("watch of backends ended", "discovery", d.address, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(float64(retry) * (0.5 + rand.Float64()))):
		}
		retry = min(2*retry, last)
	}
}
