package control

import (
	"slices"
	"time"

	"capnproto.org/go/capnp/v3"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/configuration"
	"nickelline/internal/control/controlwire"
	"nickelline/internal/fault"
)

// mustMarshal is capnpcodec.Marshal for messages whose contents cannot make it fail.
func mustMarshal[T any](newRoot func(*capnp.Segment) (T, error), fill func(T) error) []byte {
	encoded, err := capnpcodec.Marshal(0, newRoot, fill)
	if err != nil {
		panic("a message cannot be built: " + err.Error())
	}
	return encoded
}

// EncodeCommand writes a command as a Cap'n Proto message.
func EncodeCommand(c *Command) ([]byte, error) {
	return capnpcodec.Marshal(0, controlwire.NewRootCommand, func(root controlwire.Command) error {
		return fillCommand(root, c)
	})
}

func fillCommand(root controlwire.Command, c *Command) error {
	switch {
	case c.Configure != nil:
		return fillConfigure(root, c.Configure)
	case c.Retire != nil:
		return fillRetire(root, c.Retire)
	case c.CompleteRetirement != nil:
		return fillCompleteRetirement(root, c.CompleteRetirement)
	case c.ReplacePlacement != nil:
		return fillReplacePlacement(root, c.ReplacePlacement)
	case c.ChangeLeaseholders != nil:
		return fillChangeLeaseholders(root, c.ChangeLeaseholders)
	}
	return fault.New(fault.Internal, "a command without contents")
}

func fillConfigure(root controlwire.Command, command *Configure) error {
	target, err := root.NewConfigure()
	if err != nil {
		return err
	}
	target.SetPatch(command.Patch)
	target.SetMatch(command.Match)
	return target.SetBody(command.Body)
}

func fillRetire(root controlwire.Command, command *Retire) error {
	target, err := root.NewRetire()
	if err != nil {
		return err
	}
	store, err := target.NewStore()
	if err != nil {
		return err
	}
	if err := fillStore(store, command.Store); err != nil {
		return err
	}
	target.SetDurationMs(command.Duration.Milliseconds())
	target.SetMinimum(uint32(command.Minimum))
	stores, err := target.NewStores(int32(len(command.Stores)))
	if err != nil {
		return err
	}
	for i, other := range command.Stores {
		if err := fillStore(stores.At(i), other); err != nil {
			return err
		}
	}
	return nil
}

func fillStore(store controlwire.Store, s Store) error {
	store.SetReplica(s.Replica)
	return store.SetName(s.Name)
}

func fillCompleteRetirement(root controlwire.Command, command *CompleteRetirement) error {
	target, err := root.NewComplete()
	if err != nil {
		return err
	}
	target.SetExpectedVersion(command.ExpectedVersion)
	target.SetCurrentReplica(command.CurrentReplica)
	store, err := target.NewStore()
	if err != nil {
		return err
	}
	return fillStore(store, command.Store)
}

func fillReplacePlacement(root controlwire.Command, command *ReplacePlacement) error {
	target, err := root.NewPlace()
	if err != nil {
		return err
	}
	target.SetExpectedVersion(command.ExpectedVersion)
	target.SetExpectedRevision(command.ExpectedRevision)
	return target.SetTable(command.Table)
}

// DecodeCommand reads a command. Its bodies are parts of the encoded bytes.
func DecodeCommand(encoded []byte) (*Command, error) {
	root, err := capnpcodec.Unmarshal(encoded, controlwire.ReadRootCommand)
	if err != nil {
		return nil, err
	}
	switch root.Which() {
	case controlwire.Command_Which_configure:
		return readConfigure(root)
	case controlwire.Command_Which_retire:
		return readRetire(root)
	case controlwire.Command_Which_complete:
		return readCompleteRetirement(root)
	case controlwire.Command_Which_place:
		return readReplacePlacement(root)
	case controlwire.Command_Which_holders:
		return readChangeLeaseholders(root)
	}
	return nil, fault.New(fault.Internal, "a command of unknown kind %d", root.Which())
}

func readConfigure(root controlwire.Command) (*Command, error) {
	source, err := root.Configure()
	if err != nil {
		return nil, err
	}
	body, err := source.Body()
	if err != nil {
		return nil, err
	}
	return &Command{Configure: &Configure{Patch: source.Patch(), Match: source.Match(), Body: body}}, nil
}

func readRetire(root controlwire.Command) (*Command, error) {
	source, err := root.Retire()
	if err != nil {
		return nil, err
	}
	command := &Retire{Duration: milliseconds(source.DurationMs()), Minimum: int(source.Minimum())}
	store, err := source.Store()
	if err != nil {
		return nil, err
	}
	if command.Store, err = readStore(store); err != nil {
		return nil, err
	}
	stores, err := source.Stores()
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(stores); err != nil {
		return nil, err
	}
	for i := range stores.Len() {
		other, err := readStore(stores.At(i))
		if err != nil {
			return nil, err
		}
		command.Stores = append(command.Stores, other)
	}
	return &Command{Retire: command}, nil
}

func readStore(store controlwire.Store) (Store, error) {
	name, err := store.Name()
	return Store{Name: name, Replica: store.Replica()}, err
}

func readCompleteRetirement(root controlwire.Command) (*Command, error) {
	source, err := root.Complete()
	if err != nil {
		return nil, err
	}
	store, err := source.Store()
	if err != nil {
		return nil, err
	}
	command := &CompleteRetirement{CurrentReplica: source.CurrentReplica(), ExpectedVersion: source.ExpectedVersion()}
	if command.Store, err = readStore(store); err != nil {
		return nil, err
	}
	return &Command{CompleteRetirement: command}, nil
}

func readReplacePlacement(root controlwire.Command) (*Command, error) {
	source, err := root.Place()
	if err != nil {
		return nil, err
	}
	table, err := source.Table()
	if err != nil {
		return nil, err
	}
	command := &ReplacePlacement{
		ExpectedVersion:  source.ExpectedVersion(),
		ExpectedRevision: source.ExpectedRevision(),
		Table:            table,
	}
	return &Command{ReplacePlacement: command}, nil
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// EncodeResult writes a result.
func EncodeResult(r Result) []byte {
	return mustMarshal(controlwire.NewRootResult, func(root controlwire.Result) error {
		root.SetOutcome(uint8(r.Outcome))
		root.SetVersion(r.Version)
		return root.SetText(r.Text)
	})
}

// DecodeResult reads a result.
func DecodeResult(encoded []byte) (Result, error) {
	root, err := capnpcodec.Unmarshal(encoded, controlwire.ReadRootResult)
	if err != nil {
		return Result{}, err
	}
	text, err := root.Text()
	return Result{Outcome: Outcome(root.Outcome()), Version: root.Version(), Text: text}, err
}

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
		if err := fillDigests(accepted, root.NewTaken); err != nil {
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

func fillDigests(digests []Digest, newList func(int32) (controlwire.Order_List, error)) error {
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

func decodeState(encoded []byte) (state *State, accepted, refused []Digest, err error) {
	root, err := capnpcodec.Unmarshal(encoded, controlwire.ReadRootState)
	if err != nil {
		return nil, nil, nil, err
	}
	if state, err = readState(root); err != nil {
		return nil, nil, nil, err
	}
	if accepted, err = readDigests(root.Taken()); err != nil {
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

func readDocument(state *State, encoded []byte) (*State, error) {
	document, err := configuration.Parse(encoded)
	if err != nil {
		return nil, err
	}
	snapshot, err := configuration.Compile(document)
	if err != nil {
		return nil, err
	}
	return state.withDocument(document, snapshot), nil
}

func readDigests(list controlwire.Order_List, err error) ([]Digest, error) {
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
