using Go = import "/go.capnp";
@0xa6d3f1c08e527b94;
$Go.package("placementwire");
$Go.import("nickelline/internal/placement/placementwire");

# The placement of all partitions. Each replica is listed once in `replicas`, and partitions refer to it by its index
# there.
struct Table {
  version @0 :UInt64;
  replicas @1 :List(Replica);
  partitions @2 :List(Partition);
}

struct Replica {
  id @0 :UInt64;
  name @1 :Text;
  zone @2 :Text;
  address @3 :UInt32;
  # IPv4 address as a number; the first octet is the most significant byte.
  port @4 :UInt16;
}

struct Partition {
  chain @0 :UInt32;
  epoch @1 :UInt64;
  members @2 :List(Member);
  learners @3 :List(UInt32);
}

struct Member {
  replica @0 :UInt32;
  joined @1 :UInt64;
}
