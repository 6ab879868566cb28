package gossip

import (
	"nickelline/internal/capnpcodec"
	"nickelline/internal/delta"
	"nickelline/internal/gossip/gossipwire"
)

func (u *update) encode(item gossipwire.Update, p *packer) error {
	item.SetTopic(uint8(u.value.Topic))
	item.SetEpoch(u.value.Version.Epoch)
	item.SetSequence(u.value.Version.Sequence)
	if len(u.steps) > 0 {
		return encodeSteps(item, u.steps)
	}
	packed, err := p.pack(u.value)
	if err != nil {
		return err
	}
	return item.SetPacked(packed)
}

func encodeSteps(item gossipwire.Update, steps []step) error {
	list, err := item.NewSteps(int32(len(steps)))
	if err != nil {
		return err
	}
	for i := range steps {
		s := list.At(i)
		s.SetFromEpoch(steps[i].from.Epoch)
		s.SetFromSequence(steps[i].from.Sequence)
		s.SetToEpoch(steps[i].to.Epoch)
		s.SetToSequence(steps[i].to.Sequence)
		if err := s.SetDifference(steps[i].difference); err != nil {
			return err
		}
	}
	return nil
}

// decodeUpdates skips topics that this process does not know.
func decodeUpdates(list gossipwire.Update_List, err error) ([]update, error) {
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	var updates []update
	for i := range list.Len() {
		if Topic(list.At(i).Topic()) >= topicCount {
			continue
		}
		u, err := decodeUpdate(list.At(i))
		if err != nil {
			return nil, err
		}
		updates = append(updates, u)
	}
	return updates, nil
}

func decodeUpdate(item gossipwire.Update) (update, error) {
	u := update{value: Value{
		Topic:   Topic(item.Topic()),
		Version: Version{Epoch: item.Epoch(), Sequence: item.Sequence()},
	}}
	var err error
	if u.steps, err = decodeSteps(item.Steps()); err != nil || len(u.steps) > 0 {
		return u, err
	}
	packed, err := item.Packed()
	if err != nil {
		return update{}, err
	}
	u.value.Data, err = delta.Decompress(packed)
	return u, err
}

func decodeSteps(list gossipwire.Step_List, err error) ([]step, error) {
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	var steps []step
	for i := range list.Len() {
		s := list.At(i)
		difference, err := s.Difference()
		if err != nil {
			return nil, err
		}
		steps = append(steps, step{
			from:       Version{Epoch: s.FromEpoch(), Sequence: s.FromSequence()},
			to:         Version{Epoch: s.ToEpoch(), Sequence: s.ToSequence()},
			difference: difference,
		})
	}
	return steps, nil
}
