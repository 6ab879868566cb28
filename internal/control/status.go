package control

import (
	"maps"
	"slices"
	"time"

	"nickelline/internal/control/controlapi"
	"nickelline/internal/member"
	"nickelline/internal/view"
)

// Status describes the system as this node knows it. It makes no calls to other nodes.
func (c *Control) Status() controlapi.Status {
	state := c.machine.State()
	return controlapi.Status{
		Node:          c.options.Settings.NodeName,
		Configuration: describeConfiguration(state),
		Chain:         c.describeChain(),
		Placement:     describePlacement(state),
		Retirements:   describeRetirements(state),
		Members:       describeMembers(c.options.Members.Table()),
		FailingDisks:  c.describeDisks(),
	}
}

// describeDisks describes the failing disks that this node knows of: its own, and as the head of the control chain those of the stores.
func (c *Control) describeDisks() []controlapi.DiskState {
	troubles := c.reports.diskTroubles()
	if own := NewDiskTrouble(c.DiskStatus(), time.Now()); own != nil {
		troubles[c.options.Settings.NodeName] = *own
	}
	var described []controlapi.DiskState
	for _, node := range slices.Sorted(maps.Keys(troubles)) {
		trouble := troubles[node]
		described = append(described, controlapi.DiskState{
			Node:           node,
			FailingSeconds: trouble.For.Seconds(),
			Failures:       trouble.Failures,
			Error:          trouble.Error,
		})
	}
	return described
}

func describeConfiguration(state *State) controlapi.ConfigurationState {
	if state.Configuration == nil {
		return controlapi.ConfigurationState{}
	}
	return controlapi.ConfigurationState{
		Version:  state.Version(),
		Routes:   len(state.Configuration.Routes),
		Services: len(state.Configuration.Services),
		Tenants:  len(state.Configuration.Tenants),
	}
}

func (c *Control) describeChain() controlapi.ChainState {
	if c.node == nil {
		return controlapi.ChainState{Replicas: []string{}, Voters: []string{}}
	}
	v, status := c.node.View(), c.node.Status()
	_, head := c.head()
	return controlapi.ChainState{
		Epoch:           v.Epoch,
		Head:            head,
		Replicas:        memberNames(v.Members),
		Voters:          memberNames(v.Electorate()),
		ToleratedLosses: v.ToleratedLosses(c.isRunning),
		Committed:       status.Committed,
		Appended:        status.LastAppended,
	}
}

// isRunning reports whether a replica of the control chain is running, as far as this node knows.
func (c *Control) isRunning(replica view.ReplicaID) bool {
	if replica == c.options.Replica {
		return true
	}
	return slices.ContainsFunc(c.options.Members.Table().ByRole(controlRole), func(m member.Member) bool {
		return m.Replica == uint64(replica) && m.Running()
	})
}

func memberNames(members []view.Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name)
	}
	return names
}

func describePlacement(state *State) controlapi.PlacementState {
	described := controlapi.PlacementState{Version: state.PlacementVersion, Partitions: []controlapi.PartitionState{}}
	for i, partition := range decodePlacement(state).Partitions {
		described.Partitions = append(described.Partitions, controlapi.PartitionState{
			Partition: i,
			Epoch:     partition.View.Epoch,
			Stores:    memberNames(partition.View.Members),
			Learners:  memberNames(partition.Learners),
		})
	}
	return described
}

func describeRetirements(state *State) []controlapi.RetirementState {
	described := []controlapi.RetirementState{}
	for _, retirement := range state.Retirements {
		described = append(described, controlapi.RetirementState{
			Node:  retirement.Store.Name,
			State: retirementState(retirement),
		})
	}
	return described
}

func retirementState(r Retirement) string {
	if r.Completed {
		return controlapi.RetirementCompleted
	}
	return controlapi.RetirementInProgress
}

func describeMembers(table *member.Table) []controlapi.MemberState {
	described := []controlapi.MemberState{}
	for _, m := range table.All() {
		described = append(described, controlapi.MemberState{
			Node:    m.Name,
			Role:    m.Role,
			Zone:    m.Zone,
			Address: m.Address.String(),
			State:   m.State.String(),
			Leaving: m.Leaving,
		})
	}
	return described
}
