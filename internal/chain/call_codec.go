package chain

import (
	"nickelline/internal/capnpcodec"
	"nickelline/internal/chain/chainwire"
)

func encodeProposeRequest(chain uint32, command []byte) ([]byte, error) {
	return capnpcodec.Marshal(len(command)+messageOverhead, chainwire.NewRootProposeRequest, func(w chainwire.ProposeRequest) error {
		w.SetChain(chain)
		return w.SetCommand(command)
	})
}

func decodeProposeRequest(data []byte) (chain uint32, command []byte, err error) {
	r, err := capnpcodec.Unmarshal(data, chainwire.ReadRootProposeRequest)
	if err != nil {
		return 0, nil, err
	}
	command, err = r.Command()
	return r.Chain(), command, err
}

func encodeProposeResponse(result []byte) ([]byte, error) {
	return capnpcodec.Marshal(len(result)+messageOverhead, chainwire.NewRootProposeResponse, func(w chainwire.ProposeResponse) error {
		return w.SetResult(result)
	})
}

func decodeProposeResponse(data []byte) ([]byte, error) {
	r, err := capnpcodec.Unmarshal(data, chainwire.ReadRootProposeResponse)
	if err != nil {
		return nil, err
	}
	return r.Result()
}

func encodeBarrierRequest(chain uint32) ([]byte, error) {
	return capnpcodec.Marshal(0, chainwire.NewRootBarrierRequest, func(w chainwire.BarrierRequest) error {
		w.SetChain(chain)
		return nil
	})
}

func decodeBarrierRequest(data []byte) (chain uint32, err error) {
	r, err := capnpcodec.Unmarshal(data, chainwire.ReadRootBarrierRequest)
	if err != nil {
		return 0, err
	}
	return r.Chain(), nil
}

func encodeBarrierResponse(sequence, epoch uint64) ([]byte, error) {
	return capnpcodec.Marshal(0, chainwire.NewRootBarrierResponse, func(w chainwire.BarrierResponse) error {
		w.SetSequence(sequence)
		w.SetEpoch(epoch)
		return nil
	})
}

func decodeBarrierResponse(data []byte) (sequence, epoch uint64, err error) {
	r, err := capnpcodec.Unmarshal(data, chainwire.ReadRootBarrierResponse)
	if err != nil {
		return 0, 0, err
	}
	return r.Sequence(), r.Epoch(), nil
}
