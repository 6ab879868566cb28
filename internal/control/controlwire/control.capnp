using Go = import "/go.capnp";
@0xb19c1b1b6a3f5d27;
$Go.package("controlwire");
$Go.import("nickelline/internal/control/controlwire");

# Commands, results and the state of the control chain, and the reports of stores. command.go, result.go, state.go,
# digest.go and report.go of package control document the fields.

struct Configure {
  patch @0 :Bool;
  match @1 :UInt64;
  body @2 :Data;
}

struct Store {
  name @0 :Text;
  replica @1 :UInt64;
}

struct Retire {
  store @0 :Store;
  durationMs @1 :Int64;
  stores @2 :List(Store);
  minimum @3 :UInt32;
}

struct Completion {
  store @0 :Store;
  expectedVersion @1 :UInt64;
  currentReplica @2 :UInt64;
}

struct Place {
  expectedVersion @0 :UInt64;
  expectedRevision @1 :UInt64;
  table @2 :Data;
}

struct Leaseholder {
  ip @0 :UInt32;
  # IPv4 address as a number; the first octet is the most significant byte.
  port @1 :UInt16;
  generation @2 :UInt64;
}

struct LeaseholderChange {
  epoch @0 :UInt64;
  expectedRevision @1 :UInt64;
  add @2 :List(Leaseholder);
  remove @3 :List(Leaseholder);
  keep @4 :List(Text);
  # Tenants whose reserves are recorded as kept, after spendAll and spend.
  spend @5 :List(Text);
  # Tenants whose reserves are recorded as spent.
  spendAll @6 :Bool;
  # The reserves of all tenants are recorded as spent, before spend and keep apply.
}

struct LeaseholderSet {
  epoch @0 :UInt64;
  revision @1 :UInt64;
  members @2 :List(Leaseholder);
  reserves @3 :List(Text);
  # Tenants whose reserves are kept for the next allocator.
  former @4 :List(Leaseholder);
  # Ended processes that were replaced by others at their addresses, the oldest first.
}

struct Command {
  union {
    configure @0 :Configure;
    retire @1 :Retire;
    complete @2 :Completion;
    place @3 :Place;
    leaseholders @4 :LeaseholderChange;
  }
}

struct Result {
  outcome @0 :UInt8;
  version @1 :UInt64;
  text @2 :Text;
}

struct Digest {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Retirement {
  store @0 :Store;
  durationMs @1 :Int64;
  completed @2 :Bool;
}

struct State {
  document @0 :Data;
  accepted @1 :List(Digest);
  refused @2 :List(Digest);
  retirements @3 :List(Retirement);
  retirementRevision @4 :UInt64;
  placementVersion @5 :UInt64;
  placement @6 :Data;
  leaseholders @7 :LeaseholderSet;
}

struct ChainStatus {
  chain @0 :UInt32;
  epoch @1 :UInt64;
  complete @2 :Bool;
  caughtUp @3 :Bool;
  running @4 :UInt32;
}

struct Report {
  store @0 :Store;
  chains @1 :List(ChainStatus);
  forwarded @2 :Bool;
  impaired @3 :Bool;
  diskTrouble @4 :DiskTrouble;
}

struct DiskTrouble {
  milliseconds @0 :UInt64;
  failures @1 :UInt64;
  error @2 :Text;
}
