using Go = import "/go.capnp";
@0xe7d25a90c3b1f648;
$Go.package("gossipwire");
$Go.import("nickelline/internal/gossip/gossipwire");

# The version that a member has of one topic, with the age of its proof.
struct Summary {
  topic @0 :UInt8;
  epoch @1 :UInt64;
  sequence @2 :UInt64;
  ageMicros @3 :UInt64;
  # Age of the proof that the version is the newest, in microseconds; the maximum value: no proof.
}

# A version of a topic, as the whole value or as steps from the version that the receiver has.
struct Update {
  topic @0 :UInt8;
  epoch @1 :UInt64;
  sequence @2 :UInt64;
  packed @3 :Data;
  # The whole value, compressed; empty if there are steps.
  steps @4 :List(Step);
}

# The difference from one version of a value to a later one.
struct Step {
  fromEpoch @0 :UInt64;
  fromSequence @1 :UInt64;
  toEpoch @2 :UInt64;
  toSequence @3 :UInt64;
  difference @4 :Data;
}

# Announces new versions.
struct Announcement {
  summaries @0 :List(Summary);
}

struct DigestRequest {
  summaries @0 :List(Summary);
}

struct DigestAnswer {
  summaries @0 :List(Summary);
  updates @1 :List(Update);
  # Versions that are newer than the requester's, as far as they fit into the size limit of an answer.
}

struct FetchRequest {
  topic @0 :UInt8;
  hasBase @1 :Bool;
  # The requester has the base version below and can apply steps from it.
  baseEpoch @2 :UInt64;
  baseSequence @3 :UInt64;
}

struct FetchAnswer {
  update @0 :Update;
  ageMicros @1 :UInt64;
}
