package chain

import (
	"github.com/ansel1/merry/v2"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/chain/chainwire"
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// Estimates of the sizes of messages.
const (
	messageOverhead = 512 // bytes of a message beside entries and data
	entryOverhead   = 32
	wordBytes       = 8
)

// encodeEnvelope gives a message as a Cap'n Proto message.
func encodeEnvelope(e Envelope) ([]byte, error) {
	return capnpcodec.Marshal(envelopeSize(e.Body), chainwire.NewRootEnvelope, func(w chainwire.Envelope) error {
		w.SetChain(e.Chain)
		w.SetEpoch(e.Epoch)
		w.SetSender(uint64(e.Sender))
		return writeBody(w, e.Body)
	})
}

// envelopeSize estimates the size of a message from above, if it can be large; else 0.
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
	return merry.Errorf("message of type %T", body)
}

func writeSession(allocate func() (chainwire.Session, error), s Session) error {
	w, err := allocate()
	if err != nil {
		return err
	}
	w.SetLife(s.Generation)
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
	w.SetLife(m.Generation)
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
	w.SetLife(m.Generation)
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
	w.SetLife(m.Generation)
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

// decodeEnvelope reads what encodeEnvelope gave. Entries and snapshot data share its memory.
func decodeEnvelope(data []byte) (Envelope, error) {
	r, err := capnpcodec.Unmarshal(data, chainwire.ReadRootEnvelope)
	if err != nil {
		return Envelope{}, err
	}
	body, err := readBody(r)
	if err != nil {
		return Envelope{}, err
	}
	return Envelope{Chain: r.Chain(), Epoch: r.Epoch(), Sender: view.ReplicaID(r.Sender()), Body: body}, nil
}

func readBody(r chainwire.Envelope) (Body, error) {
	switch r.Which() {
	case chainwire.Envelope_Which_attach:
		return readAttach(r.Attach())
	case chainwire.Envelope_Which_connect:
		session, err := readSession(r.Connect())
		return Connect{Session: session}, err
	case chainwire.Envelope_Which_history:
		return readHistory(r.History())
	case chainwire.Envelope_Which_start:
		return readStart(r.Start())
	case chainwire.Envelope_Which_snapshotPart:
		return readSnapshotChunk(r.SnapshotPart())
	case chainwire.Envelope_Which_append:
		return readAppend(r.Append())
	case chainwire.Envelope_Which_acknowledge:
		return readAcknowledge(r.Acknowledge())
	case chainwire.Envelope_Which_viewRequest:
		return ViewRequest{}, nil
	case chainwire.Envelope_Which_viewNotice:
		data, err := r.ViewNotice()
		if err != nil {
			return nil, err
		}
		v, err := view.Decode(data)
		return ViewNotice{View: v}, err
	}
	return nil, merry.Errorf("message of unknown type %d", r.Which())
}

func readSession(r chainwire.Session, err error) (Session, error) {
	if err != nil {
		return Session{}, err
	}
	return Session{Generation: r.Life(), Number: r.Number()}, nil
}

func readPosition(r chainwire.Position, err error) (Position, error) {
	if err != nil {
		return Position{}, err
	}
	return Position{Epoch: r.Epoch(), Sequence: r.Sequence()}, nil
}

func readAttach(r chainwire.Attach, err error) (Body, error) {
	if err != nil {
		return nil, err
	}
	session, err := readSession(r.Session())
	return Attach{Session: session, Broken: r.Broken()}, err
}

func readHistory(r chainwire.History, err error) (Body, error) {
	if err != nil {
		return nil, err
	}
	m := History{Generation: r.Life(), Committed: r.Committed()}
	if m.Session, err = readSession(r.Session()); err != nil {
		return nil, err
	}
	runs, err := r.Runs()
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(runs); err != nil {
		return nil, err
	}
	for i := range runs.Len() {
		run := runs.At(i)
		m.Runs = append(m.Runs, Run{Epoch: run.Epoch(), First: run.First(), Last: run.Last()})
	}
	return m, nil
}

func readStart(r chainwire.Start, err error) (Body, error) {
	if err != nil {
		return nil, err
	}
	m := Start{Generation: r.Life(), Target: r.Target()}
	if m.Session, err = readSession(r.Session()); err != nil {
		return nil, err
	}
	m.Match, err = readPosition(r.Match())
	return m, err
}

func readSnapshotChunk(r chainwire.SnapshotPart, err error) (Body, error) {
	if err != nil {
		return nil, err
	}
	m := SnapshotChunk{Generation: r.Life(), Total: r.Total(), Offset: r.Offset()}
	if m.Session, err = readSession(r.Session()); err != nil {
		return nil, err
	}
	if m.Position, err = readPosition(r.Position()); err != nil {
		return nil, err
	}
	m.Data, err = r.Data()
	return m, err
}

func readAppend(r chainwire.Append, err error) (Body, error) {
	if err != nil {
		return nil, err
	}
	m := Append{Committed: r.Committed(), Barrier: r.Barrier()}
	if m.Session, err = readSession(r.Session()); err != nil {
		return nil, err
	}
	if m.Previous, err = readPosition(r.Previous()); err != nil {
		return nil, err
	}
	entries, err := r.Entries()
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(entries); err != nil {
		return nil, err
	}
	for i := range entries.Len() {
		data, err := entries.At(i).Data()
		if err != nil {
			return nil, err
		}
		sequence := m.Previous.Sequence + uint64(i) + 1
		m.Entries = append(m.Entries, segment.Entry{Epoch: entries.At(i).Epoch(), Sequence: sequence, Data: data})
	}
	return m, nil
}

func readAcknowledge(r chainwire.Acknowledge, err error) (Body, error) {
	if err != nil {
		return nil, err
	}
	session, err := readSession(r.Session())
	return Acknowledge{
		Session:       session,
		Synced:        r.Synced(),
		Stored:        r.Stored(),
		Barrier:       r.Barrier(),
		SnapshotBytes: r.SnapshotBytes(),
		Ready:         r.Ready(),
	}, err
}

// encodeRecord gives the record that lies beside the log.
func encodeRecord(record Record) ([]byte, error) {
	return capnpcodec.Marshal(0, chainwire.NewRootRecord, func(w chainwire.Record) error {
		w.SetCompleteEpoch(record.CompleteEpoch)
		w.SetLife(record.Generation)
		data, err := view.Encode(record.View)
		if err != nil {
			return err
		}
		return w.SetView(data)
	})
}

func decodeRecord(data []byte) (Record, error) {
	r, err := capnpcodec.Unmarshal(data, chainwire.ReadRootRecord)
	if err != nil {
		return Record{}, err
	}
	encoded, err := r.View()
	if err != nil {
		return Record{}, err
	}
	v, err := view.Decode(encoded)
	return Record{View: v, CompleteEpoch: r.CompleteEpoch(), Generation: r.Life()}, err
}
