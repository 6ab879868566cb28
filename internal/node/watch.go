package node

import (
	"context"
	"errors"
	"net/netip"
	"os"

	"nickelline/decide"
)

var errDiscoveryMoved = errors.New("discovery has moved")

// subscribe begins a watch, or begins it anew so that there is an answer, unless the answer is still to come. With on
// false it ends the watch.
func (l *loop) subscribe(on bool) {
	if on && l.endWatch != nil && !l.watchOpen {
		return
	}
	l.endCurrentWatch()
	if !on {
		return
	}
	ctx, current := l.newWatch()
	d, since := l.discovery, l.version
	l.running.Go(func() {
		err := d.watch(ctx, since, callTimeout, l.listHandler(ctx))
		current(func() {
			l.endCurrentWatch()
			l.listFetched(list{}, err)
		})
	})
}

// fetchList fetches the whole list once. What comes after discovery has moved to another address counts as a failure.
func (l *loop) fetchList() {
	d := l.discovery
	l.running.Go(func() {
		fetched, err := d.fetch(l.ctx)
		l.post(func() {
			if d != l.discovery {
				fetched, err = list{}, errDiscoveryMoved
			}
			l.listFetched(fetched, err)
		})
	})
}

// followList keeps a watch where lists are pushed and so the module asks for none.
func (l *loop) followList() {
	ctx, _ := l.newWatch()
	d, since := l.discovery, l.version
	l.running.Go(func() { d.follow(ctx, since, l.settings.DrainGrace, l.listHandler(ctx)) })
}

// listHandler returns the function that takes the lists of a watch. What a watch got before it ended may come behind its
// end, and still counts: unless its successor has had an answer by then, a list is taken if it is newer than what is
// known.
func (l *loop) listHandler(ctx context.Context) func(list) {
	return func(update list) {
		l.post(func() {
			switch {
			case ctx.Err() == nil:
				l.watchOpen = true
				l.takeList(update)
			case !l.watchOpen && l.version != nil && update.version > *l.version:
				l.takeList(update)
			}
		})
	}
}

// newWatch returns what a new watch needs: a context, and a function that runs another in the loop unless the watch has
// ended.
func (l *loop) newWatch() (context.Context, func(func())) {
	ctx, cancel := context.WithCancel(l.ctx)
	l.endWatch, l.watchOpen = cancel, false
	return ctx, func(f func()) {
		l.post(func() {
			if ctx.Err() == nil {
				f()
			}
		})
	}
}

// endCurrentWatch ends the watch, if there is one.
func (l *loop) endCurrentWatch() {
	if l.endWatch != nil {
		l.endWatch()
		l.endWatch = nil
	}
}

// moveDiscovery asks discovery at another address from now on, at once, for what has changed: discovery is one service
// for all nodes, they all move together, and a whole list for each of them is more than it has time for. A watch at the
// old address may hang, and would be taken for one that is kept.
func (l *loop) moveDiscovery(to netip.AddrPort) {
	if to == l.discovery.address {
		return
	}
	l.log.Info("discovery moves", "to", to)
	l.endCurrentWatch()
	l.discovery.client.CloseIdleConnections()
	l.discovery = newDiscovery(to, l.log)
	if l.settings.ListOnRequest {
		l.subscribe(true)
	} else {
		l.followList()
	}
}

// reloadConfig reads the configuration again at each signal, until ctx ends. An invalid one changes nothing; of a valid
// one discovery's address takes effect, and what else is new in it at the next start.
func (l *loop) reloadConfig(ctx context.Context, c *Config, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		next, err := c.readAgain()
		if err != nil {
			l.log.Error("reload configuration failed", "err", err)
			continue
		}
		l.post(func() { l.moveDiscovery(next.Discovery) })
	}
}

// listFetched takes the answer to a call for the list that the module has asked for.
func (l *loop) listFetched(fetched list, err error) {
	if err != nil {
		l.log.Info("fetch list of backends failed", "discovery", l.discovery.address, "err", err)
		l.handle(decide.ListUpdate{Kind: decide.ListFailed})
		return
	}
	l.takeList(fetched)
}

// takeList applies a list from discovery, whole or changes.
func (l *loop) takeList(update list) {
	kind := decide.ListChanges
	if update.full {
		kind = decide.ListFull
	}
	l.applyList(update, kind)
}

// applyList applies a list: to connections first, so that nothing goes where the list says no.
func (l *loop) applyList(update list, kind decide.ListKind) {
	l.version = &update.version
	l.numbering.assign(update)
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
