package chain

import (
	"context"
	"net/netip"
	"sync"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"nickelline/internal/fault"
	"nickelline/internal/peer"
)

// Dispatcher passes the messages of one transport to the chains of the process.
type Dispatcher struct {
	transport *peer.Transport
	log       *zap.Logger

	mutex         sync.RWMutex
	nodes         map[uint32]*Node
	reconfigurers map[uint32]*Reconfigurer
}

// NewDispatcher returns a dispatcher and sets its handlers on a transport that has not been started.
func NewDispatcher(transport *peer.Transport, log *zap.Logger) *Dispatcher {
	d := &Dispatcher{
		transport:     transport,
		log:           log,
		nodes:         make(map[uint32]*Node),
		reconfigurers: make(map[uint32]*Reconfigurer),
	}
	transport.HandleOneWay(kindEnvelope, d.receive)
	transport.Handle(kindPropose, d.propose)
	transport.Handle(kindBarrier, d.barrier)
	transport.Handle(kindAgreement, d.agreement)
	return d
}

// add registers a node. It returns an error if the chain is open already.
func (d *Dispatcher) add(n *Node) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.nodes[n.options.Chain] != nil {
		return merry.Errorf("chain %d is open already", n.options.Chain)
	}
	d.nodes[n.options.Chain] = n
	return nil
}

func (d *Dispatcher) remove(n *Node) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.nodes[n.options.Chain] == n {
		delete(d.nodes, n.options.Chain)
		delete(d.reconfigurers, n.options.Chain)
	}
}

func (d *Dispatcher) addReconfigurer(chain uint32, reconfigurer *Reconfigurer) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.reconfigurers[chain] = reconfigurer
}

// node returns the node of a chain, or an error of kind fault.NotReady if the chain is not open in this process.
func (d *Dispatcher) node(chain uint32) (*Node, error) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	if n := d.nodes[chain]; n != nil {
		return n, nil
	}
	return nil, fault.New(fault.NotReady, "chain %d is not here", chain)
}

// reconfigurer returns the reconfigurer of a chain, or an error of kind fault.NotReady if there is none in this process.
func (d *Dispatcher) reconfigurer(chain uint32) (*Reconfigurer, error) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	if reconfigurer := d.reconfigurers[chain]; reconfigurer != nil {
		return reconfigurer, nil
	}
	return nil, fault.New(fault.NotReady, "chain %d has no reconfigurer in this process", chain)
}

// receive handles a one-way message between replicas. A message for a chain that is not open here is dropped.
func (d *Dispatcher) receive(from netip.AddrPort, m peer.Message) {
	e, err := decodeEnvelope(m.Body)
	if err != nil {
		d.log.Warn("malformed chain message", zap.Stringer("from", from), zap.Error(err))
		return
	}
	if n, err := d.node(e.Chain); err == nil {
		n.receive(from, e)
	}
}

// propose handles a proposal that another replica forwarded to the head.
func (d *Dispatcher) propose(ctx context.Context, _ netip.AddrPort, m peer.Message) (peer.Message, error) {
	request, err := decodeProposeRequest(m.Body)
	if err != nil {
		return peer.Message{}, fault.Wrap(fault.NotReady, err)
	}
	n, err := d.node(request.chain)
	if err != nil {
		return peer.Message{}, err
	}
	result, err := n.proposeLocally(ctx, request.command)
	if err != nil {
		return peer.Message{}, err
	}
	body, err := proposeResponse{result: result}.encode()
	return peer.Message{Kind: kindPropose, Body: body}, fault.Wrap(fault.Unclear, err)
}

// barrier handles a barrier request of another replica to the head.
func (d *Dispatcher) barrier(ctx context.Context, _ netip.AddrPort, m peer.Message) (peer.Message, error) {
	request, err := decodeBarrierRequest(m.Body)
	if err != nil {
		return peer.Message{}, fault.Wrap(fault.NotReady, err)
	}
	n, err := d.node(request.chain)
	if err != nil {
		return peer.Message{}, err
	}
	sequence, err := n.barrierLocally(ctx)
	if err != nil {
		return peer.Message{}, fault.Wrap(fault.NotReady, err)
	}
	body, err := barrierResponse{sequence: sequence, epoch: n.View().Epoch}.encode()
	return peer.Message{Kind: kindBarrier, Body: body}, fault.Wrap(fault.NotReady, err)
}

// agreement handles a request of the agreement on views.
func (d *Dispatcher) agreement(_ context.Context, _ netip.AddrPort, m peer.Message) (peer.Message, error) {
	request, err := decodeAgreementRequest(m.Body)
	if err != nil {
		return peer.Message{}, fault.Wrap(fault.BadRequest, err)
	}
	reconfigurer, err := d.reconfigurer(request.chain)
	if err != nil {
		return peer.Message{}, err
	}
	response, err := reconfigurer.handle(request)
	if err != nil {
		return peer.Message{}, err
	}
	body, err := response.encode()
	return peer.Message{Kind: kindAgreement, Body: body}, err
}
