package control

import (
	"path"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/chain"
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

const (
	// controlChain is the identifier of the chain that replicates the control state.
	controlChain = 0
	// chainDirectory is the directory of the chain's files, within the data directory of the process.
	chainDirectory = "control"
	// minimumChainMembers is the least number of members of a full view, even if no loss has to be tolerated. A view has fewer
	// members while there are fewer replicas.
	minimumChainMembers = 3
)

// openReplica opens the replica of the control chain and the reconfigurer of its views. While the disk fails, it tries again.
func (c *Control) openReplica() error {
	dispatcher := chain.NewDispatcher(c.options.Transport, c.options.Log)
	for {
		err := c.tryOpenReplica(dispatcher)
		if !segment.IsTransient(err) || c.options.AwaitDisk == nil || !c.options.AwaitDisk(err) {
			return c.handleOpenError(err)
		}
	}
}

func (c *Control) tryOpenReplica(dispatcher *chain.Dispatcher) error {
	c.machine = NewMachine() // the one of a failed attempt may have applied entries
	o := c.options
	losses := o.Settings.FaultTolerance.Losses()
	node, err := chain.Open(chain.Options{
		Chain:           controlChain,
		Self:            c.self(),
		Dispatcher:      dispatcher,
		FileSystem:      o.FileSystem,
		Directory:       path.Join(o.Settings.DataDirectory, chainDirectory),
		StateMachine:    c.machine,
		MinimumReplicas: losses + 1,
		OnFailure:       o.OnFailure,
		Log:             o.Log,
	})
	if err != nil {
		return merry.Prepend(err, "control chain")
	}
	reconfigurer, err := chain.NewReconfigurer(chain.ReconfigurerOptions{
		Node:       node,
		Seeds:      o.Settings.SeedInternalAddresses(),
		FirstStart: o.Settings.InitialStart,
		Policy:     chainPolicy(losses),
	})
	if err != nil {
		node.Close()
		return merry.Prepend(err, "reconfigurer of the control chain")
	}
	c.node, c.reconfigurer = node, reconfigurer
	return nil
}

// chainPolicy returns the sizes of the views of the control chain for a number of disks that may be lost at once. A view has
// as many voters as a full view has members.
func chainPolicy(losses int) view.Policy {
	full := max(minimumChainMembers, 2*losses+1)
	return view.Policy{MinimumMembers: losses + 1, MaximumMembers: full, Voters: full}
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
