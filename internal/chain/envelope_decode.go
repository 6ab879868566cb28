package chain

import (
	"github.com/ansel1/merry/v2"

	"nickelline/internal/capnpcodec"
	"nickelline/internal/chain/chainwire"
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// decodeEnvelope reverses encodeEnvelope. Entries and snapshot data share the memory of data.
func decodeEnvelope(data []byte) (Envelope, error) {
	r, err := capnpcodec.Unmarshal(data, chainwire.ReadRootEnvelope)
	if err != nil {
		return Envelope{}, err
	}
	body, err := readBody(r)
	if err != nil {
		return Envelope{}, err
	}
	return Envelope{
		Chain:    r.Chain(),
		Epoch:    r.Epoch(),
		Sender:   view.ReplicaID(r.Sender()),
		Receiver: view.ReplicaID(r.Receiver()),
		Body:     body,
	}, nil
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
	return nil, merry.Errorf("decode message of unknown type %d", r.Which())
}

func readSession(r chainwire.Session, err error) (Session, error) {
	if err != nil {
		return Session{}, err
	}
	return Session{Generation: r.Generation(), Number: r.Number()}, nil
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
	m := History{Generation: r.Generation(), Committed: r.Committed()}
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
	m := Start{Generation: r.Generation(), Target: r.Target()}
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
	m := SnapshotChunk{Generation: r.Generation(), Total: r.Total(), Offset: r.Offset()}
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
