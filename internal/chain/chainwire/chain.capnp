using Go = import "/go.capnp";
@0xb7d1f0c25a8e4413;
$Go.package("chainwire");
$Go.import("nickelline/internal/chain/chainwire");

# Messages between the replicas of a chain and requests to its head, and the Record that a replica stores on its disk.
# message.go, call_messages.go, agreement_message.go and output.go of package chain document the fields. Fields of type
# Data that hold views and messages of the agreement on views are encoded by package view.

struct Envelope {
  chain @0 :UInt32;
  epoch @1 :UInt64;
  sender @2 :UInt64;
  receiver @12 :UInt64;
  union {
    attach @3 :Attach;
    connect @4 :Session;
    history @5 :History;
    start @6 :Start;
    snapshotPart @7 :SnapshotPart;
    append @8 :Append;
    acknowledge @9 :Acknowledge;
    viewRequest @10 :Void;
    viewNotice @11 :Data;
  }
}

struct Attach {
  session @0 :Session;
  broken @1 :Bool;
}

struct Session {
  generation @0 :UInt64;
  number @1 :UInt64;
}

struct Position {
  epoch @0 :UInt64;
  sequence @1 :UInt64;
}

struct Run {
  epoch @0 :UInt64;
  first @1 :UInt64;
  last @2 :UInt64;
}

struct History {
  session @0 :Session;
  generation @1 :UInt64;
  committed @2 :UInt64;
  runs @3 :List(Run);
}

struct Start {
  session @0 :Session;
  generation @1 :UInt64;
  match @2 :Position;
  target @3 :UInt64;
}

struct SnapshotPart {
  session @0 :Session;
  generation @1 :UInt64;
  position @2 :Position;
  total @3 :UInt64;
  offset @4 :UInt64;
  data @5 :Data;
}

struct Entry {
  epoch @0 :UInt64;
  data @1 :Data;
}

struct Append {
  session @0 :Session;
  previous @1 :Position;
  entries @2 :List(Entry);
  committed @3 :UInt64;
  barrier @4 :UInt64;
}

struct Acknowledge {
  session @0 :Session;
  synced @1 :UInt64;
  barrier @2 :UInt64;
  snapshotBytes @3 :UInt64;
  ready @4 :Bool;
  stored @5 :UInt64;
}

struct Record {
  view @0 :Data;
  completeEpoch @1 :UInt64;
  generation @2 :UInt64;
  lostEpoch @3 :UInt64;
}

struct ProposeRequest {
  chain @0 :UInt32;
  command @1 :Data;
}

struct ProposeResponse {
  result @0 :Data;
}

struct BarrierRequest {
  chain @0 :UInt32;
}

struct BarrierResponse {
  sequence @0 :UInt64;
  epoch @1 :UInt64;
}

struct AgreementRequest {
  chain @0 :UInt32;
  sender @1 :Data;
  union {
    prepare @2 :Data;
    accept @3 :Data;
    join @4 :Void;
    view @5 :Void;
    confirm @6 :UInt64;
    # Asks whether the replica's view is the one of this epoch, the replica has a vote on the next view, and it has
    # accepted no later view.
  }
}

struct AgreementResponse {
  view @0 :Data;
  union {
    nothing @1 :Void;
    promise @2 :Data;
    accepted @3 :Data;
    confirmed @4 :Bool;
  }
}
