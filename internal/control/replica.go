package control

import (
	"path"
	"time"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/chain"
	"nickelline/internal/placement"
	"nickelline/internal/settings"
	"nickelline/internal/view"
)

// placementPolicy keeps the replicas of a partition in one zone where the loss of a zone need not be borne.
func placementPolicy(t settings.FaultTolerance) placement.Policy {
	policy := placement.PolicyFor(t.Losses())
	policy.Concentrated = t.Zones == 0 && t.Regions == 0
	return policy
}

// chainPolicy gives the sizes of the control chain where some disks may be lost at once: as many replicas vote on its views as
// are members of a whole one.
func chainPolicy(lost int) view.Policy {
	whole := max(minimumChainMembers, 2*lost+1)
	return view.Policy{MinimumMembers: lost + 1, MaximumMembers: whole, Voters: whole}
}

func (c *Control) self() view.Member {
	s := c.options.Settings
	return view.Member{
		Replica: c.options.Replica,
		Name:    s.NodeName,
		Zone:    s.Zone,
		Address: c.options.Transport.Address(),
	}
}

// openReplica restores the replica of the control chain and what works on it.
func (c *Control) openReplica() error {
	o := c.options
	lost := o.Settings.FaultTolerance.Losses()
	node, err := chain.Open(chain.Options{
		Chain:           controlChain,
		Self:            c.self(),
		Registry:        chain.NewRegistry(o.Transport, o.Log),
		FileSystem:      o.FileSystem,
		Directory:       path.Join(o.Settings.DataDirectory, chainDirectory),
		Machine:         c.machine,
		MinimumReplicas: lost + 1,
		OnFailure:       o.OnFailure,
		Log:             o.Log,
	})
	if err != nil {
		return c.handleOpenError(merry.Prepend(err, "control chain"))
	}
	c.node = node
	c.reconfigurer, err = chain.NewReconfigurer(chain.ReconfigurerOptions{
		Node:       node,
		Seeds:      o.Settings.SeedInternal(),
		FirstStart: o.Settings.InitialStart,
		Policy:     chainPolicy(lost),
	})
	if err != nil {
		node.Close()
		return c.handleOpenError(merry.Prepend(err, "views of the control chain"))
	}
	c.assemble(lost)
	return nil
}

// build makes the parts that work on the replica.
func (c *Control) assemble(lost int) {
	o := c.options
	stores := &storeDirectory{
		members:      o.Members,
		machine:      c.machine,
		completeFrom: time.Now().Add(discoveryHeartbeats * c.heartbeat),
		now:          time.Now,
	}
	c.service = newService(c.node, c.machine, stores, lost+1)
	prover := chain.NewProver(c.reconfigurer)
	c.publisher = &publisher{
		node:          c.node,
		prover:        prover,
		machine:       c.machine,
		configuration: o.Configuration,
		placement:     o.Placement,
		period:        c.heartbeat / 2,
		log:           o.Log,
	}
	c.headStatus = &HeadStatus{
		node:          c.node,
		prover:        prover,
		self:          o.Replica,
		proofLifetime: headProofLifetime,
		log:           o.Log,
	}
	c.placementController = &placementController{
		machine: c.machine,
		members: o.Members,
		reports: c.reports,
		policy:  placementPolicy(o.Settings.FaultTolerance),
		timing:  placementTiming{stabilization: stabilizationHeartbeats * c.heartbeat, reportTimeout: storeReportTimeout},
		propose: c.service.propose,
		log:     o.Log,
	}
	handler := &reportHandler{
		reports:   c.reports,
		transport: o.Transport,
		head:      c.head,
		changed:   func() { signal(c.wakePlacement) },
	}
	o.Transport.Handle(reportKind, handler.handle)
	c.node.OnCommit(func(uint64) { signal(c.commits) })
	c.node.OnView(func(view.View) {
		signal(c.wakePublisher)
		signal(c.wakeHeadStatus)
		signal(c.wakePlacement)
	})
}
