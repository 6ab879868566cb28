package node

import (
	"context"
	"net/netip"
	"os"

	"nickelline/decide"
)

// subscribe begins a watch, or begins it anew so that there is an answer, unless the answer is still to come.
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
		current(func() { l.endCurrentWatch(); l.listFetched(list{}, err) })
	})
}

// listen keeps a watch where lists are pushed and so nobody asks for one.
func (l *loop) followList() {
	ctx, _ := l.newWatch()
	d, since := l.discovery, l.version
	l.running.Go(func() { d.follow(ctx, since, l.settings.DrainGrace, l.listHandler(ctx)) })
}

// newsOf gives a watch's way of handing on news. What it was told before it ended may come behind its end, and counts as
// told: unless its successor has brought something by then, it is followed where it is newer than what is known.
func (l *loop) listHandler(ctx context.Context) func(list) {
	return func(n list) {
		l.post(func() {
			switch {
			case ctx.Err() == nil:
				l.watchOpen = true
				l.takeList(n)
			case !l.watchOpen && l.version != nil && n.version > *l.version:
				l.takeList(n)
			}
		})
	}
}

// watching gives what a new watch needs: a context, and a way into the loop for as long as it is not ended.
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

func (l *loop) endCurrentWatch() {
	if l.endWatch != nil {
		l.endWatch()
		l.endWatch = nil
	}
}

// move has discovery asked at another address, at once, for what has changed: it is one service for all nodes, they
// all move together, and a whole list for each of them is more than it has time for. A watch at the old address may
// hang, and would be taken for one that is kept.
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

// reload reads the configuration again whenever it is told to, until ctx ends. A bad one changes nothing; of a good
// one discovery's address takes effect, what else is new in it at the next start.
func (l *loop) reloadConfig(ctx context.Context, c *Config, asked <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
		}
		next, err := c.readAgain()
		if err != nil {
			l.log.Error("configuration not taken", "err", err)
			continue
		}
		l.post(func() { l.moveDiscovery(next.Discovery) })
	}
}

// told takes the answer to a call that the module made.
func (l *loop) listFetched(n list, err error) {
	if err != nil {
		l.log.Info("discovery", "err", err)
		l.handle(decide.ListUpdate{Kind: decide.ListFailed})
		return
	}
	l.takeList(n)
}

func (l *loop) takeList(n list) {
	kind := decide.ListChanges
	if n.full {
		kind = decide.ListFull
	}
	l.applyList(n, kind)
}

// follow takes a list: connections first, so that nothing goes where the list says no.
func (l *loop) applyList(n list, kind decide.ListKind) {
	l.version = &n.version
	l.numbering.assign(n)
	l.transport.update(n)
	if n.full {
		clear(l.ready)
	}
	e := decide.ListUpdate{Kind: kind, Version: n.version}
	for _, s := range n.entries {
		delete(l.ready, s.ID)
		if s.State == decide.Ready {
			l.ready[s.ID] = true
		}
		e.Entries = append(e.Entries, s.Backend)
	}
	l.hasReady.Store(len(l.ready) > 0)
	l.handle(e)
}
