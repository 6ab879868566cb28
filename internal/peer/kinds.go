package peer

// Kind identifies the type of a message and the package that decodes its body. Zero is used by the transport itself.
type Kind uint16

// First kinds of the packages that send messages. Each package has a block of kindsPerPackage kinds and declares its
// kinds in its own code.
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
