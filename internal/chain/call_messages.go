package chain

import (
	"nickelline/internal/capnpcodec"
	"nickelline/internal/chain/chainwire"
)

// proposeRequest asks the head of a chain to have a command committed.
type proposeRequest struct {
	chain   uint32
	command []byte
}

// proposeResponse carries the result of applying a committed command.
type proposeResponse struct{ result []byte }

// barrierRequest asks the head of a chain for a barrier.
type barrierRequest struct{ chain uint32 }

// barrierResponse answers a barrier: everything that was committed when the request arrived has at most this sequence.
// The epoch is that of the head's view.
type barrierResponse struct{ sequence, epoch uint64 }

func (m proposeRequest) encode() ([]byte, error) {
	size := len(m.command) + messageOverhead
	return capnpcodec.Marshal(size, chainwire.NewRootProposeRequest, func(w chainwire.ProposeRequest) error {
		w.SetChain(m.chain)
		return w.SetCommand(m.command)
	})
}

// decodeProposeRequest reverses encode. The command shares the memory of data.
func decodeProposeRequest(data []byte) (proposeRequest, error) {
	r, err := capnpcodec.Unmarshal(data, chainwire.ReadRootProposeRequest)
	if err != nil {
		return proposeRequest{}, err
	}
	command, err := r.Command()
	return proposeRequest{chain: r.Chain(), command: command}, err
}

func (m proposeResponse) encode() ([]byte, error) {
	size := len(m.result) + messageOverhead
	return capnpcodec.Marshal(size, chainwire.NewRootProposeResponse, func(w chainwire.ProposeResponse) error {
		return w.SetResult(m.result)
	})
}

// decodeProposeResponse reverses encode. The result shares the memory of data.
func decodeProposeResponse(data []byte) (proposeResponse, error) {
	r, err := capnpcodec.Unmarshal(data, chainwire.ReadRootProposeResponse)
	if err != nil {
		return proposeResponse{}, err
	}
	result, err := r.Result()
	return proposeResponse{result: result}, err
}

func (m barrierRequest) encode() ([]byte, error) {
	return capnpcodec.Marshal(0, chainwire.NewRootBarrierRequest, func(w chainwire.BarrierRequest) error {
		w.SetChain(m.chain)
		return nil
	})
}

func decodeBarrierRequest(data []byte) (barrierRequest, error) {
	r, err := capnpcodec.Unmarshal(data, chainwire.ReadRootBarrierRequest)
	if err != nil {
		return barrierRequest{}, err
	}
	return barrierRequest{chain: r.Chain()}, nil
}

func (m barrierResponse) encode() ([]byte, error) {
	return capnpcodec.Marshal(0, chainwire.NewRootBarrierResponse, func(w chainwire.BarrierResponse) error {
		w.SetSequence(m.sequence)
		w.SetEpoch(m.epoch)
		return nil
	})
}

func decodeBarrierResponse(data []byte) (barrierResponse, error) {
	r, err := capnpcodec.Unmarshal(data, chainwire.ReadRootBarrierResponse)
	if err != nil {
		return barrierResponse{}, err
	}
	return barrierResponse{sequence: r.Sequence(), epoch: r.Epoch()}, nil
}
