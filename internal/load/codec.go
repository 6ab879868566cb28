package load

import (
	"math"

	"capnproto.org/go/capnp/v3"
	"github.com/ansel1/merry/v2"

	"nickelline/internal/admission"
	"nickelline/internal/capnpcodec"
	"nickelline/internal/load/loadwire"
)

// pendingUnits is the factor by which Pending is multiplied on the wire.
const pendingUnits = 100

// errCountMismatch means that the numbers of backends and of loads in a message differ.
var errCountMismatch = merry.New("number of backends differs from number of loads")

// encodedSize returns an estimate of the size of a message with these loads, in bytes.
func encodedSize(loads []admission.BackendLoad) int { return 160 + 12*len(loads) }

func encodeReport(r *report) ([]byte, error) {
	data, err := capnpcodec.Marshal(encodedSize(r.loads), loadwire.NewRootReport, func(root loadwire.Report) error {
		root.SetComplete(r.complete)
		root.SetUnasking(r.oneWay)
		if err := root.SetService(r.service); err != nil {
			return err
		}
		if err := encodeBackends(root.NewBackends, r.loads); err != nil {
			return err
		}
		return encodeLoads(root.NewLoads, r.loads)
	})
	return data, merry.Prepend(err, "encode load report")
}

func decodeReport(data []byte) (*report, error) {
	root, err := capnpcodec.Unmarshal(data, loadwire.ReadRootReport)
	if err != nil {
		return nil, merry.Prepend(err, "decode load report")
	}
	r := &report{complete: root.Complete(), oneWay: root.Unasking()}
	if r.service, err = root.Service(); err != nil {
		return nil, merry.Prepend(err, "decode load report")
	}
	if r.loads, err = decodeLoads(root.Loads()); err != nil {
		return nil, merry.Prepend(err, "decode load report")
	}
	if err := decodeBackends(r.loads, root.Backends); err != nil {
		return nil, merry.Prepend(err, "decode load report")
	}
	return r, nil
}

func encodeResponse(totals *response) ([]byte, error) {
	data, err := capnpcodec.Marshal(encodedSize(totals.loads), loadwire.NewRootAnswer, func(root loadwire.Answer) error {
		root.SetTable(totals.backendsHash)
		if err := root.SetService(totals.service); err != nil {
			return err
		}
		return encodeLoads(root.NewLoads, totals.loads)
	})
	return data, merry.Prepend(err, "encode load response")
}

func decodeResponse(data []byte) (*response, error) {
	root, err := capnpcodec.Unmarshal(data, loadwire.ReadRootAnswer)
	if err != nil {
		return nil, merry.Prepend(err, "decode load response")
	}
	totals := &response{backendsHash: root.Table()}
	if totals.service, err = root.Service(); err != nil {
		return nil, merry.Prepend(err, "decode load response")
	}
	if totals.loads, err = decodeLoads(root.Loads()); err != nil {
		return nil, merry.Prepend(err, "decode load response")
	}
	return totals, nil
}

func encodeSummary(s *summary) ([]byte, error) {
	data, err := capnpcodec.Marshal(encodedSize(s.loads), loadwire.NewRootSummary, func(root loadwire.Summary) error {
		root.SetPart(s.chunk)
		if err := root.SetService(s.service); err != nil {
			return err
		}
		if err := root.SetZone(s.zone); err != nil {
			return err
		}
		if err := encodeBackends(root.NewBackends, s.loads); err != nil {
			return err
		}
		return encodeLoads(root.NewLoads, s.loads)
	})
	return data, merry.Prepend(err, "encode load summary")
}

func decodeSummary(data []byte) (*summary, error) {
	root, err := capnpcodec.Unmarshal(data, loadwire.ReadRootSummary)
	if err != nil {
		return nil, merry.Prepend(err, "decode load summary")
	}
	s := &summary{chunk: root.Part()}
	if s.service, err = root.Service(); err != nil {
		return nil, merry.Prepend(err, "decode load summary")
	}
	if s.zone, err = root.Zone(); err != nil {
		return nil, merry.Prepend(err, "decode load summary")
	}
	if s.loads, err = decodeLoads(root.Loads()); err != nil {
		return nil, merry.Prepend(err, "decode load summary")
	}
	if err := decodeBackends(s.loads, root.Backends); err != nil {
		return nil, merry.Prepend(err, "decode load summary")
	}
	return s, nil
}

func encodeBackends(newList func(int32) (capnp.UInt32List, error), loads []admission.BackendLoad) error {
	list, err := newList(int32(len(loads)))
	if err != nil {
		return err
	}
	for i := range loads {
		list.Set(i, loads[i].Backend)
	}
	return nil
}

// decodeBackends decodes the identifiers of backends into loads that are already decoded.
func decodeBackends(loads []admission.BackendLoad, read func() (capnp.UInt32List, error)) error {
	list, err := read()
	if err != nil {
		return err
	}
	if list.Len() != len(loads) {
		return errCountMismatch
	}
	for i := range loads {
		loads[i].Backend = list.At(i)
	}
	return nil
}

func encodeLoads(newList func(int32) (loadwire.Load_List, error), loads []admission.BackendLoad) error {
	list, err := newList(int32(len(loads)))
	if err != nil {
		return err
	}
	for i := range loads {
		entry := list.At(i)
		entry.SetInFlight(saturateUint16(loads[i].InFlight))
		entry.SetBatch(saturateUint16(loads[i].Batch))
		entry.SetUnanswered(uint8(min(max(loads[i].Unanswered, 0), math.MaxUint8)))
		entry.SetPending(saturateUint16(int(loads[i].Pending*pendingUnits + 0.5)))
	}
	return nil
}

// saturateUint16 limits a number to the range of an unsigned 16-bit integer.
func saturateUint16(number int) uint16 { return uint16(min(max(number, 0), math.MaxUint16)) }

func decodeLoads(list loadwire.Load_List, err error) ([]admission.BackendLoad, error) {
	if err != nil {
		return nil, err
	}
	if err := capnpcodec.CheckLength(list); err != nil {
		return nil, err
	}
	loads := make([]admission.BackendLoad, list.Len())
	for i := range loads {
		entry := list.At(i)
		loads[i] = admission.BackendLoad{
			InFlight:   int(entry.InFlight()),
			Batch:      int(entry.Batch()),
			Unanswered: int(entry.Unanswered()),
			Pending:    float64(entry.Pending()) / pendingUnits,
		}
	}
	return loads, nil
}
