package node

import (
	"context"
	"errors"
	"net/netip"
	"os"

	"nickelline/decide"
)

var errDiscoveryMoved = errors.New("discovery moved to another address")

// subscribe starts a watch. It restarts a running watch, so that the module gets a response, unless the first response
// of that watch is still outstanding. With on false it ends the watch.
func (l *loop) subscribe(on bool) {
	if on && l.cancelWatch != nil && !l.watchResponded {
		return
	}
	l.endCurrentWatch()
	if !on {
		return
	}
	ctx, postIfCurrent := l.newWatch()
	d, since := l.discovery, l.version
	l.running.Go(func() {
		err := d.watch(ctx, since, callTimeout, l.listHandler(ctx))
		postIfCurrent(func() {
			l.endCurrentWatch()
			l.handleFetchedList(backendList{}, err)
		})
	})
}

// fetchList requests the full list once. A response that arrives after discovery has moved to another address counts
// as a failure.
func (l *loop) fetchList() {
	d := l.discovery
	l.running.Go(func() {
		fetched, err := d.fetch(l.ctx)
		l.post(func() {
			if d != l.discovery {
				fetched, err = backendList{}, errDiscoveryMoved
			}
			l.handleFetchedList(fetched, err)
		})
	})
}

// followList keeps a watch open. It is used if lists are pushed, so that the module does not request them.
func (l *loop) followList() {
	ctx, _ := l.newWatch()
	d, since := l.discovery, l.version
	l.running.Go(func() { d.follow(ctx, since, l.settings.DrainGrace, l.listHandler(ctx)) })
}

// listHandler returns the function that handles the lists of a watch. A list that a watch received before it ended may
// reach the loop after that. It still counts as delivered, so it is applied if it is newer than the known list and the
// next watch has not received a response yet.
func (l *loop) listHandler(ctx context.Context) func(backendList) {
	return func(update backendList) {
		l.post(func() {
			switch {
			case ctx.Err() == nil:
				l.watchResponded = true
				l.receiveList(update)
			case !l.watchResponded && l.version != nil && update.version > *l.version:
				l.receiveList(update)
			}
		})
	}
}

// newWatch registers a new watch. It returns the context of the watch and a function that runs its argument in the loop
// unless the watch has ended.
func (l *loop) newWatch() (context.Context, func(func())) {
	ctx, cancel := context.WithCancel(l.ctx)
	l.cancelWatch, l.watchResponded = cancel, false
	return ctx, func(f func()) {
		l.post(func() {
			if ctx.Err() == nil {
				f()
			}
		})
	}
}

// endCurrentWatch cancels the current watch, if there is one.
func (l *loop) endCurrentWatch() {
	if l.cancelWatch != nil {
		l.cancelWatch()
		l.cancelWatch = nil
	}
}

// moveDiscovery switches to discovery at another address and requests the changes there at once. It does not request
// the full list, because all nodes move together and discovery has no time for a full list to each of them. It ends
// the watch at the old address, which could hang and still count as the current watch.
func (l *loop) moveDiscovery(to netip.AddrPort) {
	if to == l.discovery.address {
		return
	}
	l.log.Info("discovery address changed", "to", to)
	l.endCurrentWatch()
	l.discovery.client.CloseIdleConnections()
	l.discovery = newDiscovery(to, l.log)
	if l.settings.ListOnRequest {
		l.subscribe(true)
	} else {
		l.followList()
	}
}

// reloadConfig reads the configuration again on each signal, until ctx ends. An invalid configuration changes nothing.
// Of a valid one, only the address of discovery takes effect; all other changes need a restart.
func (l *loop) reloadConfig(ctx context.Context, c *Config, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		next, err := c.reload()
		if err != nil {
			l.log.Error("reload configuration failed", "err", err)
			continue
		}
		l.post(func() { l.moveDiscovery(next.Discovery) })
	}
}

// handleFetchedList handles the result of a call that the module requested: a list or an error.
func (l *loop) handleFetchedList(fetched backendList, err error) {
	if err != nil {
		l.log.Info("fetch list of backends failed", "discovery", l.discovery.address, "err", err)
		l.handle(decide.ListUpdate{Kind: decide.ListFailed})
		return
	}
	l.receiveList(fetched)
}

// receiveList applies a list from discovery, which is full or contains only changes.
func (l *loop) receiveList(update backendList) {
	kind := decide.ListChanges
	if update.full {
		kind = decide.ListFull
	}
	l.applyList(update, kind)
}

// applyList applies a list to the connections and then to the module, so that no request goes to a backend that the
// list excludes.
func (l *loop) applyList(update backendList, kind decide.ListKind) {
	l.version = &update.version
	l.backendIDs.assign(update)
	l.transport.update(update)
	if update.full {
		clear(l.ready)
	}
	event := decide.ListUpdate{Kind: kind, Version: update.version}
	for _, entry := range update.entries {
		delete(l.ready, entry.ID)
		if entry.State == decide.Ready {
			l.ready[entry.ID] = true
		}
		event.Entries = append(event.Entries, entry.Backend)
	}
	l.hasReady.Store(len(l.ready) > 0)
	l.handle(event)
}
