using Go = import "/go.capnp";
@0xd1b86c2f4a7e9035;
$Go.package("memberwire");
$Go.import("nickelline/internal/member/memberwire");

# An address is a number: the IPv4 address in bits 16 to 47, the port in bits 0 to 15. 0 means no address.

enum State {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

# The whole record of a member.
struct Record {
  name @0 :Text;
  role @1 :Text;
  zone @2 :Text;
  region @3 :Text;
  address @4 :UInt64;
  controlPlane @5 :UInt64;
  replica @6 :UInt64;
  generation @7 :UInt64;
  incarnation @8 :UInt64;
  state @9 :State;
  leaving @10 :Bool;
}

# An assertion about the state of a member, as of a generation and an incarnation. A receiver that does not have the
# member's record ignores it.
struct Claim {
  address @0 :UInt64;
  generation @1 :UInt64;
  incarnation @2 :UInt64;
  state @3 :State;
}

struct Datagram {
  records @0 :List(Record);
  claims @1 :List(Claim);
  running @8 :UInt32;
  # Number of members that the sender considers running (alive or suspect), itself included.
  digest @9 :UInt64;
  # Hash over the running members.
  union {
    ping :group {
      sequence @2 :UInt64;
    }
    ack :group {
      sequence @3 :UInt64;
      generation @4 :UInt64;
      # Generation of the process that was pinged.
    }
    indirectPing :group {
      sequence @5 :UInt64;
      target @6 :UInt64;
    }
    rumour @7 :Void;
  }
}

struct ExchangeRequest {
  digest @0 :UInt64;
  # Hash over the members that the requester considers running.
  self @1 :Record;
}

struct ExchangeAnswer {
  equal @0 :Bool;
  # The digests are equal, and no records are sent.
  records @1 :List(Record);
}
