package chain

import (
	"github.com/ansel1/merry/v2"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/chain/chainwire"
	"nickelline/internal/view"
)

// Upper estimates of parts of the encoded size of messages, for the size hint of capnpcodec.Marshal.
const (
	messageOverhead = 512 // bytes of a message besides entries and data
	entryOverhead   = 32  // bytes of an entry besides its data
	wordBytes       = 8   // data is padded to a multiple of this
)

// encodeEnvelope returns the Cap'n Proto form of a message (chainwire/chain.capnp).
func encodeEnvelope(e Envelope) ([]byte, error) {
	return capnpcodec.Marshal(envelopeSize(e.Body), chainwire.NewRootEnvelope, func(w chainwire.Envelope) error {
		w.SetChain(e.Chain)
		w.SetEpoch(e.Epoch)
		w.SetSender(uint64(e.Sender))
		w.SetReceiver(uint64(e.Receiver))
		return writeBody(w, e.Body)
	})
}

// envelopeSize returns an upper estimate of the encoded size of a message that may be large, and 0 for others.
func envelopeSize(body Body) int {
	switch m := body.(type) {
	case Append:
		size := messageOverhead
		for _, entry := range m.Entries {
			size += len(entry.Data) + entryOverhead + wordBytes
		}
		return size
	case SnapshotChunk:
		return messageOverhead + len(m.Data) + wordBytes
	}
	return 0
}

func writeBody(w chainwire.Envelope, body Body) error {
	switch m := body.(type) {
	case Attach:
		attach, err := w.NewAttach()
		if err != nil {
			return err
		}
		attach.SetBroken(m.Broken)
		return writeSession(attach.NewSession, m.Session)
	case Connect:
		return writeSession(w.NewConnect, m.Session)
	case History:
		return writeHistory(w.NewHistory, m)
	case Start:
		return writeStart(w.NewStart, m)
	case SnapshotChunk:
		return writeSnapshotChunk(w.NewSnapshotPart, m)
	case Append:
		return writeAppend(w.NewAppend, m)
	case Acknowledge:
		return writeAcknowledge(w.NewAcknowledge, m)
	case ViewRequest:
		w.SetViewRequest()
		return nil
	case ViewNotice:
		data, err := view.Encode(m.View)
		if err != nil {
			return err
		}
		return w.SetViewNotice(data)
	}
	return merry.Errorf("encode message of unknown type %T", body)
}

func writeSession(allocate func() (chainwire.Session, error), s Session) error {
	w, err := allocate()
	if err != nil {
		return err
	}
	w.SetGeneration(s.Generation)
	w.SetNumber(s.Number)
	return nil
}

func writePosition(allocate func() (chainwire.Position, error), p Position) error {
	w, err := allocate()
	if err != nil {
		return err
	}
	w.SetEpoch(p.Epoch)
	w.SetSequence(p.Sequence)
	return nil
}

func writeHistory(allocate func() (chainwire.History, error), m History) error {
	w, err := allocate()
	if err != nil {
		return err
	}
	w.SetGeneration(m.Generation)
	w.SetCommitted(m.Committed)
	runs, err := w.NewRuns(int32(len(m.Runs)))
	if err != nil {
		return err
	}
	for i, run := range m.Runs {
		runs.At(i).SetEpoch(run.Epoch)
		runs.At(i).SetFirst(run.First)
		runs.At(i).SetLast(run.Last)
	}
	return writeSession(w.NewSession, m.Session)
}

func writeStart(allocate func() (chainwire.Start, error), m Start) error {
	w, err := allocate()
	if err != nil {
		return err
	}
	w.SetGeneration(m.Generation)
	w.SetTarget(m.Target)
	if err := writePosition(w.NewMatch, m.Match); err != nil {
		return err
	}
	return writeSession(w.NewSession, m.Session)
}

func writeSnapshotChunk(allocate func() (chainwire.SnapshotPart, error), m SnapshotChunk) error {
	w, err := allocate()
	if err != nil {
		return err
	}
	w.SetGeneration(m.Generation)
	w.SetTotal(m.Total)
	w.SetOffset(m.Offset)
	if err := w.SetData(m.Data); err != nil {
		return err
	}
	if err := writePosition(w.NewPosition, m.Position); err != nil {
		return err
	}
	return writeSession(w.NewSession, m.Session)
}

func writeAppend(allocate func() (chainwire.Append, error), m Append) error {
	w, err := allocate()
	if err != nil {
		return err
	}
	w.SetCommitted(m.Committed)
	w.SetBarrier(m.Barrier)
	if err := writePosition(w.NewPrevious, m.Previous); err != nil {
		return err
	}
	entries, err := w.NewEntries(int32(len(m.Entries)))
	if err != nil {
		return err
	}
	for i, entry := range m.Entries {
		entries.At(i).SetEpoch(entry.Epoch)
		if err := entries.At(i).SetData(entry.Data); err != nil {
			return err
		}
	}
	return writeSession(w.NewSession, m.Session)
}

func writeAcknowledge(allocate func() (chainwire.Acknowledge, error), m Acknowledge) error {
	w, err := allocate()
	if err != nil {
		return err
	}
	w.SetSynced(m.Synced)
	w.SetStored(m.Stored)
	w.SetBarrier(m.Barrier)
	w.SetSnapshotBytes(m.SnapshotBytes)
	w.SetReady(m.Ready)
	return writeSession(w.NewSession, m.Session)
}
