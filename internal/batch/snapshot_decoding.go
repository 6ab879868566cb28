package batch

import (
	"time"

	"nickelline/internal/batch/batchwire"
	"nickelline/internal/capnpcodec"
	"nickelline/internal/fault"
)

func decodeCheckpoints(state batchwire.ItemState) (checkpoints, error) {
	chunks, err := state.Checkpoints()
	if err != nil || chunks.Len() == 0 {
		return nil, err
	}
	return capnpcodec.DecodeList(chunks, nil, decodeCheckpoint)
}

func decodeCheckpoint(chunk batchwire.Checkpoint, c *checkpoint) (err error) {
	c.events = chunk.Events()
	if c.lastEvent, err = chunk.LastEvent(); err != nil {
		return err
	}
	content, err := chunk.Content()
	c.content = clone(content)
	return err
}

func (m *Machine) decodeHeader(frame []byte) (jobs uint32, err error) {
	root, err := capnpcodec.Unmarshal(frame, batchwire.ReadRootSnapshotHeader)
	if err != nil {
		return 0, err
	}
	m.clock.last = ClockReading{Source: root.ClockSource(), Elapsed: time.Duration(root.ClockElapsed())}
	m.clock.now = time.Duration(root.ClockNow())
	m.ordinal = root.NextOrdinal()
	return root.Jobs(), nil
}

func (m *Machine) restoreJob(frame []byte) error {
	root, err := capnpcodec.Unmarshal(frame, batchwire.ReadRootJobState)
	if err != nil {
		return err
	}
	restored, err := decodeJobState(root)
	if err != nil {
		return err
	}
	m.jobs[restored.key] = restored
	if restored.ended {
		return nil
	}
	for i := range restored.items {
		if restored.items[i].state == Waiting {
			m.charge(restored.account(), restored.items[i].Tokens)
		}
	}
	return nil
}

func decodeJobState(root batchwire.JobState) (*job, error) {
	j := &job{
		ordinal:     root.Ordinal(),
		submittedAt: time.Duration(root.SubmittedAt()),
		submitted:   root.Submitted(),
		ended:       root.Ended(),
	}
	key, err := root.Key()
	if err != nil {
		return nil, err
	}
	if j.key, err = DecodeKey(key); err != nil {
		return nil, err
	}
	if j.route, err = decodeRoute(root); err != nil {
		return nil, err
	}
	j.terms = decodeTerms(root)
	if err := decodeItemStates(root, j); err != nil {
		return nil, err
	}
	return j, decodePositions(root, j)
}

func decodeItemStates(root batchwire.JobState, j *job) error {
	states, err := root.Items()
	j.items, err = capnpcodec.DecodeList(states, err, interner{}.decodeItemState)
	return err
}

func (n interner) decodeItemState(state batchwire.ItemState, i *item) error {
	i.state = State(state.State())
	i.serverErrors = state.ServerErrors()
	content, err := state.Content()
	if err != nil {
		return err
	}
	i.content = clone(content)
	if i.checkpoints, err = decodeCheckpoints(state); err != nil {
		return err
	}
	encoded, err := state.Item()
	if err != nil {
		return err
	}
	if err := n.decodeItem(encoded, &i.Item); err != nil {
		return err
	}
	i.Body = clone(i.Body)
	return nil
}

// clone copies bytes, so that the message that holds them can be released. It returns nil for no bytes.
func clone(data []byte) []byte { return append([]byte(nil), data...) }

func decodePositions(root batchwire.JobState, j *job) error {
	positions, err := root.Positions()
	if err != nil {
		return err
	}
	j.positions = make([]uint32, positions.Len())
	for i := range j.positions {
		j.positions[i] = positions.At(i)
		if int(j.positions[i]) >= len(j.items) {
			return fault.New(fault.Internal, "snapshot of batch jobs: position refers to item %d of a job of %d items", j.positions[i], len(j.items))
		}
	}
	return nil
}
