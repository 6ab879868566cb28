package control

import (
	"time"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/control/controlwire"
	"nickelline/internal/fault"
)

// EncodeCommand returns a command as a Cap'n Proto message.
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
	return fault.New(fault.Internal, "command is empty")
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

// DecodeCommand reads a command that EncodeCommand wrote. The command shares memory with the encoded bytes.
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
	case controlwire.Command_Which_leaseholders:
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
