package control

import (
	"slices"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/configuration"
	"nickelline/internal/control/controlwire"
)

// encodeState returns a state and the digests of accepted and refused changes as a Cap'n Proto message: a snapshot.
func encodeState(s *State, accepted, refused []Digest) []byte {
	document := s.EncodedDocument()
	return mustMarshal(controlwire.NewRootState, func(root controlwire.State) error {
		root.SetRetirementRevision(s.RetirementRevision)
		root.SetPlacementVersion(s.PlacementVersion)
		if err := root.SetDocument(document); err != nil {
			return err
		}
		if err := root.SetPlacement(s.Placement); err != nil {
			return err
		}
		if err := fillDigests(accepted, root.NewAccepted); err != nil {
			return err
		}
		if err := fillDigests(refused, root.NewRefused); err != nil {
			return err
		}
		if err := fillLeaseholderSet(root, &s.Leaseholders); err != nil {
			return err
		}
		return fillRetirements(root, s.Retirements)
	})
}

func fillDigests(digests []Digest, newList func(int32) (controlwire.Digest_List, error)) error {
	list, err := newList(int32(len(digests)))
	if err != nil {
		return err
	}
	for i, digest := range digests {
		list.At(i).SetHigh(digest.High)
		list.At(i).SetLow(digest.Low)
	}
	return nil
}

func fillRetirements(root controlwire.State, retirements []Retirement) error {
	list, err := root.NewRetirements(int32(len(retirements)))
	if err != nil {
		return err
	}
	for i, retirement := range retirements {
		element := list.At(i)
		element.SetDurationMs(retirement.Duration.Milliseconds())
		element.SetCompleted(retirement.Completed)
		store, err := element.NewStore()
		if err != nil {
			return err
		}
		if err := fillStore(store, retirement.Store); err != nil {
			return err
		}
	}
	return nil
}

// decodeState reads a snapshot that encodeState wrote.
func decodeState(encoded []byte) (state *State, accepted, refused []Digest, err error) {
	root, err := capnpcodec.Unmarshal(encoded, controlwire.ReadRootState)
	if err != nil {
		return nil, nil, nil, err
	}
	if state, err = readState(root); err != nil {
		return nil, nil, nil, err
	}
	if accepted, err = readDigests(root.Accepted()); err != nil {
		return nil, nil, nil, err
	}
	refused, err = readDigests(root.Refused())
	return state, accepted, refused, err
}

func readState(root controlwire.State) (*State, error) {
	state := &State{RetirementRevision: root.RetirementRevision(), PlacementVersion: root.PlacementVersion()}
	placement, err := root.Placement()
	if err != nil {
		return nil, err
	}
	state.Placement = slices.Clone(placement)
	if state.Retirements, err = readRetirements(root); err != nil {
		return nil, err
	}
	if state.Leaseholders, err = readLeaseholderSet(root); err != nil {
		return nil, err
	}
	document, err := root.Document()
	if err != nil || len(document) == 0 {
		return state, err
	}
	return readDocument(state, document)
}

// readDocument returns the state with an encoded configuration, which it compiles.
func readDocument(state *State, encoded []byte) (*State, error) {
	document, snapshot, err := configuration.Read(encoded)
	if err != nil {
		return nil, err
	}
	return state.withDocument(document, snapshot), nil
}

func readDigests(list controlwire.Digest_List, err error) ([]Digest, error) {
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	digests := make([]Digest, list.Len())
	for i := range digests {
		digests[i] = Digest{High: list.At(i).High(), Low: list.At(i).Low()}
	}
	return digests, nil
}

func readRetirements(root controlwire.State) ([]Retirement, error) {
	list, err := root.Retirements()
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	var retirements []Retirement
	for i := range list.Len() {
		element := list.At(i)
		encoded, err := element.Store()
		if err != nil {
			return nil, err
		}
		store, err := readStore(encoded)
		if err != nil {
			return nil, err
		}
		retirement := Retirement{Store: store, Duration: milliseconds(element.DurationMs()), Completed: element.Completed()}
		retirements = append(retirements, retirement)
	}
	return retirements, nil
}
