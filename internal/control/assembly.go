package control

import (
	"time"

	"nickelline/internal/chain"
	"nickelline/internal/placement"
	"nickelline/internal/settings"
	"nickelline/internal/view"
)

const (
	// storeReportTimeout is how long a store that sends no reports counts as alive: a few times the interval of the reports.
	// Membership alone does not suffice, as a store that is partitioned from the control nodes may look alive to others.
	storeReportTimeout = 1600 * time.Millisecond
	// stabilizationHeartbeats is how long, in heartbeats, a new head waits for the stores to report.
	stabilizationHeartbeats = 2
	// discoveryHeartbeats is how long, in heartbeats, a new process may not yet know all stores.
	discoveryHeartbeats = 4
)

// assemble creates the components that use the open replica, and registers for its events and for reports.
func (c *Control) assemble() {
	prover := chain.NewProver(c.reconfigurer)
	c.service = newService(c.node, c.machine, c.newStoreDirectory(), c.options.Settings.FaultTolerance.Losses()+1)
	c.publisher = c.newPublisher(prover)
	c.headStatus = c.newHeadStatus(prover)
	c.placementController = c.newPlacementController()
	handler := &reportHandler{
		reports:   c.reports,
		transport: c.options.Transport,
		head:      c.head,
		onChange:  func() { signal(c.wakePlacement) },
	}
	c.options.Transport.Handle(reportKind, handler.handle)
	c.node.OnCommit(func(uint64) { signal(c.commits) })
	c.node.OnView(func(view.View) {
		signal(c.wakePublisher)
		signal(c.wakeHeadStatus)
		signal(c.wakePlacement)
	})
}

func (c *Control) newStoreDirectory() *storeDirectory {
	return &storeDirectory{
		members:      c.options.Members,
		machine:      c.machine,
		completeFrom: time.Now().Add(discoveryHeartbeats * c.heartbeat),
		now:          time.Now,
	}
}

func (c *Control) newPublisher(prover *chain.Prover) *publisher {
	return &publisher{
		node:          c.node,
		prover:        prover,
		machine:       c.machine,
		configuration: c.options.Configuration,
		placement:     c.options.Placement,
		period:        c.heartbeat / 2,
		log:           c.options.Log,
	}
}

func (c *Control) newHeadStatus(prover *chain.Prover) *HeadStatus {
	return &HeadStatus{
		node:          c.node,
		prover:        prover,
		self:          c.options.Replica,
		proofLifetime: headProofLifetime,
		log:           c.options.Log,
	}
}

func (c *Control) newPlacementController() *placementController {
	return &placementController{
		machine: c.machine,
		members: c.options.Members,
		reports: c.reports,
		policy:  placementPolicy(c.options.Settings.FaultTolerance),
		timing: placementTiming{
			stabilization: stabilizationHeartbeats * c.heartbeat,
			reportTimeout: storeReportTimeout,
		},
		propose: c.service.propose,
		log:     c.options.Log,
	}
}

// placementPolicy returns the policy for the losses to tolerate. It concentrates the replicas of a partition in one zone unless
// the loss of a zone or region must be tolerated.
func placementPolicy(t settings.FaultTolerance) placement.Policy {
	policy := placement.PolicyFor(t.Losses())
	policy.Concentrated = t.Zones == 0 && t.Regions == 0
	return policy
}
