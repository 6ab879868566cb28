using Go = import "/go.capnp";
@0xd36c91a7e4b20f55;
$Go.package("viewwire");
$Go.import("nickelline/internal/view/viewwire");

# Views, the messages of the consensus on them, and the state that an acceptor stores on its disk. view.go, messages.go,
# acceptor.go and message_codec.go of package view document the fields.

struct Member {
  replica @0 :UInt64;
  name @1 :Text;
  zone @2 :Text;
  address @3 :Text;
  joined @4 :UInt64;
}

struct View {
  chain @0 :UInt32;
  epoch @1 :UInt64;
  members @2 :List(Member);
  voters @3 :List(Member);
}

struct ProposalNumber {
  round @0 :UInt64;
  replica @1 :UInt64;
}

struct Prepare {
  epoch @0 :UInt64;
  number @1 :ProposalNumber;
}

struct Promise {
  epoch @0 :UInt64;
  number @1 :ProposalNumber;
  granted @2 :Bool;
  promised @3 :ProposalNumber;
  accepted @4 :ProposalNumber;
  anyAccepted @5 :Bool;
  acceptedView @6 :View;
  complete @7 :Bool;
  sender @8 :Member;
  votes @9 :Bool;
  leaving @10 :Bool;
}

struct Accept {
  epoch @0 :UInt64;
  number @1 :ProposalNumber;
  view @2 :View;
}

struct Accepted {
  epoch @0 :UInt64;
  number @1 :ProposalNumber;
  granted @2 :Bool;
  promised @3 :ProposalNumber;
}

struct AcceptorRecord {
  epoch @0 :UInt64;
  promised @1 :ProposalNumber;
  accepted @2 :ProposalNumber;
  anyAccepted @3 :Bool;
  acceptedView @4 :View;
  seeds @5 :List(Text);
}
