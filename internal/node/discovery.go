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

	"nickelline/internal/responsehead"
)

const (
	// maxListBytes bounds the size of a list.
	maxListBytes = 4 << 20
	// pollWait is the time for which a watch's call waits for changes. It bounds the time until a silent failure of the
	// network path is noticed.
	pollWait = 3 * time.Second
	// firstPollWait is the same for the first call of a watch. It is short because the module waits for the response.
	firstPollWait = time.Millisecond
	// callTimeout is the time that a call may take beyond its wait for changes, as it may have to queue at discovery.
	callTimeout = 3 * time.Second
	// pollSlack is the same for the further calls of a watch, which do not queue. A later response counts as a failure.
	pollSlack = time.Second
	// dialTimeout is the timeout for connecting.
	dialTimeout = time.Second
	// minPollInterval is the pause after discovery has responded at once without a change.
	minPollInterval = 50 * time.Millisecond
	// minRetryWait is the first pause after a watch has failed. It doubles with each failure, up to maxRetryWait.
	minRetryWait = 200 * time.Millisecond
	maxRetryWait = 5 * time.Second
	// registryPath is the URL path of the list.
	registryPath = "/registry/instances"
)

var errNotFull = errors.New("backend list: want a full list, got changes")

// discovery is a client for the discovery service at one address, with its own connections.
type discovery struct {
	address netip.AddrPort
	client  *http.Client
	log     *slog.Logger
}

func newDiscovery(addr netip.AddrPort, log *slog.Logger) *discovery {
	return &discovery{address: addr, log: log, client: &http.Client{Transport: &http.Transport{
		DialContext: dialDiscovery, MaxConnsPerHost: 4, MaxIdleConnsPerHost: 2}}}
}

// dialDiscovery connects to discovery. Responses with a malformed head fail on the connection.
func dialDiscovery(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return responsehead.NewConn(conn), nil
}

// call requests the list of backends with a query. It returns an error unless the response arrives in time and is
// valid.
func (d *discovery) call(ctx context.Context, query string, timeout time.Duration) (backendList, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// The body is empty but cannot be rewound, so net/http does not retry a call whose connection is reset. If it did,
	// all nodes would retry at once, within the remaining time of the old call.
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.address.String()+registryPath+query, io.NopCloser(http.NoBody))
	if err != nil {
		return backendList{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return backendList{}, err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(io.LimitReader(resp.Body, maxListBytes)); err != nil {
		return backendList{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return backendList{}, fmt.Errorf("discovery: got status %s, want 200", resp.Status)
	}
	return decodeList(body.Bytes())
}

// fetch requests the full list once.
func (d *discovery) fetch(ctx context.Context) (backendList, error) {
	l, err := d.call(ctx, "", callTimeout)
	if err == nil && !l.full {
		return backendList{}, errNotFull
	}
	return l, err
}

// watch calls handle with the changes since a version, and with the response to its first call even if that contains
// no change. It returns the error of the first call that fails. If since is nil, it begins with the full list. slack
// is the time that the first call may take beyond its wait for changes.
func (d *discovery) watch(ctx context.Context, since *uint64, slack time.Duration, handle func(backendList)) error {
	var version uint64
	wait := firstPollWait
	for first := true; ; first = false {
		askedAt := time.Now()
		var l backendList
		var err error
		if first && since == nil {
			l, err = d.fetch(ctx)
		} else {
			if first {
				version = *since
			}
			l, err = d.call(ctx, fmt.Sprintf("?since=%d&timeout_ms=%d", version, wait.Milliseconds()), wait+slack)
		}
		if err == nil && !l.full && l.version < version { // versions restarted: the changes do not apply
			l, err = d.fetch(ctx)
		}
		if err != nil {
			return err
		}
		if first || l.full || len(l.entries) > 0 || l.version != version {
			handle(l)
		}
		// If discovery always responds at once, this must not become a busy loop. A pause does not end the watch, which
		// continues across gaps of up to 200 ms between calls.
		if !first && l.version == version && time.Since(askedAt) < minPollInterval {
			select {
			case <-ctx.Done():
			case <-time.After(minPollInterval):
			}
		}
		version, wait, slack = l.version, pollWait, pollSlack
	}
}

// follow keeps a watch open until ctx ends. It is used if lists are pushed, so that the module does not request them.
// A list then counts as delivered once discovery has it, even while there is no watch. After discovery recovers, the
// node must learn of a change within the drain grace. The slack of a call and the pauses are therefore so short that one
// call that hangs, one pause and the call that succeeds fit into the grace.
func (d *discovery) follow(ctx context.Context, since *uint64, grace time.Duration, handle func(backendList)) {
	slack, maxRetry := callTimeout, maxRetryWait
	if grace > 0 {
		slack, maxRetry = min(callTimeout, grace/3), min(maxRetryWait, grace/4) // jitter lengthens the pause by up to half
	}
	minRetry := min(minRetryWait, maxRetry)
	retry := minRetry
	for ctx.Err() == nil {
		err := d.watch(ctx, since, slack, func(l backendList) {
			since, retry = &l.version, minRetry
			handle(l)
		})
		d.log.Debug("watch of backends ended", "discovery", d.address, "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(float64(retry) * (0.5 + rand.Float64()))):
		}
		retry = min(2*retry, maxRetry)
	}
}
