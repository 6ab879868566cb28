package peer

// Kind says what a message is, and so which package decodes its body. Zero is used by the transport itself.
type Kind uint16

// Each package that sends messages numbers its kinds from its own block, in its own file.
const (
	// MemberKinds is the first kind of package member.
	MemberKinds Kind = 0x100
	// GossipKinds is the first kind of package gossip.
	GossipKinds Kind = 0x200
	// ChainKinds is the first kind of package chain.
	ChainKinds Kind = 0x300
	// QuotaKinds is the first kind of package quota.
	QuotaKinds Kind = 0x400
	// BatchKinds is the first kind of package batch.
	BatchKinds Kind = 0x500
	// ControlKinds is the first kind of package control.
	ControlKinds Kind = 0x600
	// LoadKinds is the first kind of package load.
	LoadKinds Kind = 0x700
)
