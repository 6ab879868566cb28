package chain

import "nickelline/internal/peer"

// Kinds of messages on the transport.
const (
	kindEnvelope  = peer.ChainKinds + iota // one-way, between replicas of a chain
	kindPropose                            // to the head
	kindBarrier                            // to the head
	kindAgreement                          // of the agreement on views, to any replica
)
