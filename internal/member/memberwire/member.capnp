using Go = import "/go.capnp";
@0xd1b86c2f4a7e9035;
$Go.package("memberwire");
$Go.import("nickelline/internal/member/memberwire");

# Addresses are the IPv4 number in bits 16 to 47 and the port in the lowest 16; 0: none.

enum State {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

# All that is known of a member.
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

# A change of state of a member whose record is known.
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
  # Members that the sender holds to be alive, itself included.
  digest @9 :UInt64;
  # Stands for those members.
  union {
    ping :group {
      sequence @2 :UInt64;
    }
    ack :group {
      sequence @3 :UInt64;
      generation @4 :UInt64;
      # Of the process that was probed.
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
  # Over the members that the asker holds to be alive.
  self @1 :Record;
}

struct ExchangeAnswer {
  equal @0 :Bool;
  # The digests are the same, no records are sent.
  records @1 :List(Record);
}
