package control

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"nickelline/internal/chain"
	"nickelline/internal/member"
	"nickelline/internal/pause"
	"nickelline/internal/peer"
	"nickelline/internal/segment"
	"nickelline/internal/settings"
	"nickelline/internal/view"
)

// Members is the table of members: a *member.Service.
type Members interface {
	Table() *member.Table
	OnChange(notify func(*member.Table))
}

// Options configure the control role of a process.
type Options struct {
	Settings   *settings.Settings
	FileSystem segment.FileSystem
	// Replica is the identity on the disk (view.LoadIdentity of the data directory), 0 if the process has no disk.
	Replica view.ReplicaID
	// Transport must not be started yet.
	Transport *peer.Transport
	Members   Members
	// Configuration and Placement disseminate the committed configuration and placement.
	Configuration, Placement Topic
	// OnFailure is called once if the replica cannot go on (chain.Options.OnFailure).
	OnFailure func(error)
	// AwaitDisk, if set, is called with the error if the replica cannot be opened because the disk fails. New tries again once it has
	// returned true.
	AwaitDisk func(error) bool
	Log       *zap.Logger
}

// Control is the control role of a process. A process without a disk keeps no replica and redirects the operator to nodes
// that do.
type Control struct {
	options   Options
	heartbeat time.Duration
	machine   *Machine
	reports   *reportStore
	listener  net.Listener // on which api serves
	api       *api

	// The following are nil if the process keeps no replica.
	node                *chain.Node
	reconfigurer        *chain.Reconfigurer
	service             *service
	publisher           *publisher
	headStatus          *HeadStatus
	placementController *placementController

	// Wake-up signals to goroutines. Each channel buffers one signal.
	commits        chan struct{}
	wakePublisher  chan struct{}
	wakeHeadStatus chan struct{}
	wakePlacement  chan struct{}

	stop       context.CancelFunc // nil before Start
	goroutines sync.WaitGroup
}

// New opens the replica and listens at the operator's address, and registers handlers on the transport. The caller must call
// Stop in the end, unless New returns an error.
func New(o Options) (*Control, error) {
	c := &Control{
		options:        o,
		heartbeat:      o.Settings.Heartbeat(),
		machine:        NewMachine(),
		reports:        newReportStore(),
		commits:        make(chan struct{}, 1),
		wakePublisher:  make(chan struct{}, 1),
		wakeHeadStatus: make(chan struct{}, 1),
		wakePlacement:  make(chan struct{}, 1),
	}
	if o.Replica != 0 {
		if err := c.openReplica(); err != nil {
			return nil, err
		}
		c.assemble()
	}
	listener, err := listen(context.Background(), o.Settings.Listen.ControlPlane)
	if err != nil {
		c.closeReplica()
		return nil, err
	}
	c.listener = listener
	c.api = newAPI(listener, c.service, c.Status, c.otherNode)
	return c, nil
}

// closeReplica closes the replica if there is one.
func (c *Control) closeReplica() {
	if c.node != nil {
		c.node.Close()
	}
}

// signal wakes the receiver of a channel that buffers one signal. It does not block.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Start starts the goroutines of the role. The transport must be running. Stop ends the goroutines.
func (c *Control) Start() {
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.goroutines.Go(c.serve)
	if c.node == nil {
		return
	}
	c.options.Members.OnChange(c.observeMembers)
	c.observeMembers(c.options.Members.Table())
	c.goroutines.Go(func() { c.reconfigurer.Run(ctx) })
	c.goroutines.Go(func() { c.publisher.run(ctx, c.wakePublisher) })
	c.goroutines.Go(func() { c.headStatus.run(ctx, c.wakeHeadStatus) })
	c.goroutines.Go(func() { c.publishCommits(ctx) })
	c.goroutines.Go(func() { c.runPlacement(ctx) })
}

// serve runs the operator's API until the server is stopped.
func (c *Control) serve() {
	if err := c.api.run(); !isServerClosed(err) {
		c.options.Log.Error("serve operator's API failed", zap.Error(err))
	}
}

// observeMembers passes changes of the membership on to the chain and to the placement.
func (c *Control) observeMembers(table *member.Table) {
	var candidates []view.Candidate
	for _, m := range table.All() {
		if m.Role == controlRole && m.Replica != 0 {
			candidates = append(candidates, view.Candidate{
				Member:    view.Member{Replica: view.ReplicaID(m.Replica), Name: m.Name, Zone: m.Zone, Address: m.Address},
				Reachable: m.Running(),
				Leaving:   m.Leaving,
			})
		}
	}
	c.reconfigurer.SetCandidates(candidates)
	signal(c.wakePlacement)
}

// publishCommits announces the committed state at once after each commit.
func (c *Control) publishCommits(ctx context.Context) {
	for {
		c.publisher.publish()
		select {
		case <-ctx.Done():
			return
		case <-c.commits:
			signal(c.wakePlacement)
		}
	}
}

// runPlacement runs the placement controller every heartbeat, and whenever wakePlacement is signalled.
func (c *Control) runPlacement(ctx context.Context) {
	pause.Every(ctx, c.heartbeat, c.wakePlacement, func() {
		_, isHead := c.head()
		c.placementController.reconcile(ctx, time.Now(), isHead)
	})
}

// head returns the address of the head of the control chain, and whether that is this node.
func (c *Control) head() (netip.AddrPort, bool) {
	if c.node == nil {
		return netip.AddrPort{}, false
	}
	head, _ := c.node.View().Head()
	return head.Address, head.Replica == c.options.Replica && head.Replica != 0
}

// otherNode returns the operator's address of a random other node that keeps a replica, and whether there is one.
func (c *Control) otherNode() (netip.AddrPort, bool) {
	var others []netip.AddrPort
	for _, m := range c.options.Members.Table().ByRole(controlRole) {
		if m.Replica != 0 && m.ControlPlane.IsValid() && m.Address != c.options.Transport.Address() {
			others = append(others, m.ControlPlane)
		}
	}
	if len(others) == 0 {
		return netip.AddrPort{}, false
	}
	return others[rand.IntN(len(others))], true
}

// State returns the latest committed state that is applied at this node.
func (c *Control) State() *State { return c.machine.State() }

// DiskStatus says whether the disk of this node's replica works. It is zero in a process without a replica.
func (c *Control) DiskStatus() chain.DiskStatus {
	if c.node == nil {
		return chain.DiskStatus{}
	}
	return c.node.DiskStatus()
}

// HeadStatus returns the proof that this node is the head of the control chain, nil for a process without a replica.
func (c *Control) HeadStatus() *HeadStatus { return c.headStatus }

// OnView registers a function that is called with each view of the control chain and with whether this node is the head. The
// function must not block.
func (c *Control) OnView(notify func(v view.View, head bool)) {
	if c.node == nil {
		return
	}
	c.node.OnView(func(v view.View) {
		head, _ := v.Head()
		notify(v, head.Replica == c.options.Replica)
	})
}

// Stop hands over to other replicas, unless ctx ends before, then stops the goroutines of the role and waits for them. The
// transport must be running until Stop returns.
func (c *Control) Stop(ctx context.Context) {
	if c.node != nil {
		if err := c.reconfigurer.HandOver(ctx); err != nil {
			c.options.Log.Info("hand over control replica failed", zap.Error(err))
		}
	}
	c.api.stop()
	if c.stop != nil {
		c.stop()
	}
	c.goroutines.Wait()
	c.closeReplica()
}
