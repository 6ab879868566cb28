package chain

import (
	"nickelline/internal/capnpcodec"
	"nickelline/internal/chain/chainwire"
	"nickelline/internal/view"
)

// encodeRecord returns the contents of the record file.
func encodeRecord(record Record) ([]byte, error) {
	return capnpcodec.Marshal(0, chainwire.NewRootRecord, func(w chainwire.Record) error {
		w.SetCompleteEpoch(record.CompleteEpoch)
		w.SetGeneration(record.Generation)
		w.SetLostEpoch(record.LostEpoch)
		data, err := view.Encode(record.View)
		if err != nil {
			return err
		}
		return w.SetView(data)
	})
}

// decodeRecord reverses encodeRecord.
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
	return Record{View: v, CompleteEpoch: r.CompleteEpoch(), Generation: r.Generation(), LostEpoch: r.LostEpoch()}, err
}
