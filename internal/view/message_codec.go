package view

import (
	"net/netip"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/view/viewwire"
)

// EncodePrepare returns a request as a Cap'n Proto message.
func EncodePrepare(m Prepare) ([]byte, error) {
	return capnpcodec.Marshal(0, viewwire.NewRootPrepare, func(root viewwire.Prepare) error {
		root.SetEpoch(m.Epoch)
		return writeNumber(root.NewNumber, m.Number)
	})
}

// DecodePrepare reads a request that EncodePrepare wrote.
func DecodePrepare(data []byte) (Prepare, error) {
	root, err := capnpcodec.Unmarshal(data, viewwire.ReadRootPrepare)
	if err != nil {
		return Prepare{}, err
	}
	number, err := readNumber(root.Number())
	return Prepare{Epoch: root.Epoch(), Number: number}, err
}

// EncodePromise returns an answer as a Cap'n Proto message.
func EncodePromise(m Promise) ([]byte, error) {
	return capnpcodec.Marshal(0, viewwire.NewRootPromise, func(root viewwire.Promise) error {
		root.SetEpoch(m.Epoch)
		root.SetGranted(m.Granted)
		root.SetVotes(m.Votes)
		root.SetComplete(m.Complete)
		root.SetLeaving(m.Leaving)
		if err := writeNumber(root.NewNumber, m.Number); err != nil {
			return err
		}
		if err := writeNumber(root.NewPromised, m.Promised); err != nil {
			return err
		}
		sender, err := root.NewSender()
		if err != nil {
			return err
		}
		if err := writeMember(sender, m.Sender); err != nil {
			return err
		}
		if m.Accepted == nil {
			return nil
		}
		root.SetAnyAccepted(true)
		return writeProposal(root.NewAccepted, root.NewAcceptedView, *m.Accepted)
	})
}

// DecodePromise reads an answer that EncodePromise wrote.
func DecodePromise(data []byte) (Promise, error) {
	root, err := capnpcodec.Unmarshal(data, viewwire.ReadRootPromise)
	if err != nil {
		return Promise{}, err
	}
	m := Promise{
		Epoch:    root.Epoch(),
		Granted:  root.Granted(),
		Votes:    root.Votes(),
		Complete: root.Complete(),
		Leaving:  root.Leaving(),
	}
	if m.Number, err = readNumber(root.Number()); err != nil {
		return Promise{}, err
	}
	if m.Promised, err = readNumber(root.Promised()); err != nil {
		return Promise{}, err
	}
	sender, err := root.Sender()
	if err != nil {
		return Promise{}, err
	}
	if m.Sender, err = readMember(sender); err != nil {
		return Promise{}, err
	}
	if root.AnyAccepted() {
		m.Accepted, err = readProposal(root.Accepted, root.AcceptedView)
	}
	return m, err
}

// EncodeAccept returns a request as a Cap'n Proto message.
func EncodeAccept(m Accept) ([]byte, error) {
	return capnpcodec.Marshal(0, viewwire.NewRootAccept, func(root viewwire.Accept) error {
		root.SetEpoch(m.Epoch)
		return writeProposal(root.NewNumber, root.NewView, Proposal{Number: m.Number, View: m.View})
	})
}

// DecodeAccept reads a request that EncodeAccept wrote.
func DecodeAccept(data []byte) (Accept, error) {
	root, err := capnpcodec.Unmarshal(data, viewwire.ReadRootAccept)
	if err != nil {
		return Accept{}, err
	}
	proposal, err := readProposal(root.Number, root.View)
	if err != nil {
		return Accept{}, err
	}
	return Accept{Epoch: root.Epoch(), Number: proposal.Number, View: proposal.View}, nil
}

// EncodeAccepted returns an answer as a Cap'n Proto message.
func EncodeAccepted(m Accepted) ([]byte, error) {
	return capnpcodec.Marshal(0, viewwire.NewRootAccepted, func(root viewwire.Accepted) error {
		root.SetEpoch(m.Epoch)
		root.SetGranted(m.Granted)
		if err := writeNumber(root.NewNumber, m.Number); err != nil {
			return err
		}
		return writeNumber(root.NewPromised, m.Promised)
	})
}

// DecodeAccepted reads an answer that EncodeAccepted wrote.
func DecodeAccepted(data []byte) (Accepted, error) {
	root, err := capnpcodec.Unmarshal(data, viewwire.ReadRootAccepted)
	if err != nil {
		return Accepted{}, err
	}
	m := Accepted{Epoch: root.Epoch(), Granted: root.Granted()}
	if m.Number, err = readNumber(root.Number()); err != nil {
		return Accepted{}, err
	}
	m.Promised, err = readNumber(root.Promised())
	return m, err
}

// EncodeAcceptorState returns the record that an acceptor keeps on disk, as a Cap'n Proto message: its state, and the seeds
// of the first start if this replica took part in it.
func EncodeAcceptorState(state AcceptorState, seeds []netip.AddrPort) ([]byte, error) {
	return capnpcodec.Marshal(0, viewwire.NewRootAcceptorRecord, func(root viewwire.AcceptorRecord) error {
		root.SetEpoch(state.Epoch)
		if err := writeNumber(root.NewPromised, state.Promised); err != nil {
			return err
		}
		if state.Accepted != nil {
			root.SetAnyAccepted(true)
			if err := writeProposal(root.NewAccepted, root.NewAcceptedView, *state.Accepted); err != nil {
				return err
			}
		}
		return writeSeeds(root, seeds)
	})
}

// DecodeAcceptorState reads a record that EncodeAcceptorState wrote.
func DecodeAcceptorState(data []byte) (AcceptorState, []netip.AddrPort, error) {
	root, err := capnpcodec.Unmarshal(data, viewwire.ReadRootAcceptorRecord)
	if err != nil {
		return AcceptorState{}, nil, err
	}
	state := AcceptorState{Epoch: root.Epoch()}
	if state.Promised, err = readNumber(root.Promised()); err != nil {
		return AcceptorState{}, nil, err
	}
	if root.AnyAccepted() {
		if state.Accepted, err = readProposal(root.Accepted, root.AcceptedView); err != nil {
			return AcceptorState{}, nil, err
		}
	}
	seeds, err := readSeeds(root)
	return state, seeds, err
}

func writeSeeds(root viewwire.AcceptorRecord, seeds []netip.AddrPort) error {
	list, err := root.NewSeeds(int32(len(seeds)))
	if err != nil {
		return err
	}
	for i, seed := range seeds {
		if err := list.Set(i, seed.String()); err != nil {
			return err
		}
	}
	return nil
}

func readSeeds(root viewwire.AcceptorRecord) ([]netip.AddrPort, error) {
	list, err := root.Seeds()
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	var seeds []netip.AddrPort
	for i := range list.Len() {
		text, err := list.At(i)
		if err != nil {
			return nil, err
		}
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

func writeNumber(allocate func() (viewwire.ProposalNumber, error), number ProposalNumber) error {
	target, err := allocate()
	if err != nil {
		return err
	}
	target.SetRound(number.Round)
	target.SetReplica(uint64(number.Replica))
	return nil
}

func readNumber(source viewwire.ProposalNumber, err error) (ProposalNumber, error) {
	if err != nil {
		return ProposalNumber{}, err
	}
	return ProposalNumber{Round: source.Round(), Replica: ReplicaID(source.Replica())}, nil
}

func writeProposal(newNumber func() (viewwire.ProposalNumber, error), newView func() (viewwire.View, error), proposal Proposal) error {
	if err := writeNumber(newNumber, proposal.Number); err != nil {
		return err
	}
	target, err := newView()
	if err != nil {
		return err
	}
	return writeView(target, proposal.View)
}

func readProposal(numberOf func() (viewwire.ProposalNumber, error), viewOf func() (viewwire.View, error)) (*Proposal, error) {
	number, err := readNumber(numberOf())
	if err != nil {
		return nil, err
	}
	source, err := viewOf()
	if err != nil {
		return nil, err
	}
	proposed, err := readView(source)
	if err != nil {
		return nil, err
	}
	return &Proposal{Number: number, View: proposed}, nil
}
