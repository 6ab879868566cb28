package batch

import (
	"capnproto.org/go/capnp/v3"

	"nickelline/internal/batch/batchwire"
)

func (m *Machine) encodeHeader(jobs int) *capnp.Message {
	message, segment, err := capnp.NewMessage(capnp.SingleSegment(make([]byte, 0, messageBytes)))
	mustEncode(err)
	root, err := batchwire.NewRootSnapshotHeader(segment)
	mustEncode(err)
	root.SetClockSource(m.clock.last.Source)
	root.SetClockElapsed(int64(m.clock.last.Elapsed))
	root.SetClockNow(int64(m.clock.now))
	root.SetNextOrdinal(m.ordinal)
	root.SetJobs(uint32(jobs))
	return message
}

// mustEncode panics if a message cannot be encoded in memory because it exceeds the size limit of Cap'n Proto: a snapshot that
// lacks a job must not be saved.
func mustEncode(err error) {
	if err != nil {
		panic(err)
	}
}

// encodeJobState encodes a job into memory, which is zeroed and has the capacity for it.
func encodeJobState(j *job, memory []byte) *capnp.Message {
	message, segment, err := capnp.NewMessage(capnp.SingleSegment(memory))
	mustEncode(err)
	root, err := batchwire.NewRootJobState(segment)
	mustEncode(err)
	key, err := root.NewKey()
	mustEncode(err)
	mustEncode(EncodeKey(key, j.key))
	mustEncode(encodeRoute(root, j.route))
	encodeTerms(root, j.terms)
	root.SetOrdinal(j.ordinal)
	root.SetSubmittedAt(int64(j.submittedAt))
	root.SetSubmitted(j.submitted)
	root.SetEnded(j.ended)
	encodeItemStates(root, j)
	return message
}

func encodeItemStates(root batchwire.JobState, j *job) {
	items, err := root.NewItems(int32(len(j.items)))
	mustEncode(err)
	for i := range j.items {
		state := items.At(i)
		state.SetState(batchwire.State(j.items[i].state))
		mustEncode(state.SetContent(j.items[i].content))
		state.SetServerErrors(j.items[i].serverErrors)
		encodeCheckpoints(state, j.items[i].checkpoints)
		encoded, err := state.NewItem()
		mustEncode(err)
		mustEncode(encodeItem(encoded, &j.items[i].Item))
	}
	positions, err := root.NewPositions(int32(len(j.positions)))
	mustEncode(err)
	for i, index := range j.positions {
		positions.Set(i, index)
	}
}

func encodeCheckpoints(state batchwire.ItemState, c checkpoints) {
	if len(c) == 0 {
		return
	}
	chunks, err := state.NewCheckpoints(int32(len(c)))
	mustEncode(err)
	for i := range c {
		chunk := chunks.At(i)
		chunk.SetEvents(c[i].events)
		mustEncode(chunk.SetLastEvent(c[i].lastEvent))
		mustEncode(chunk.SetContent(c[i].content))
	}
}
