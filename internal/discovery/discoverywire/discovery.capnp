using Go = import "/go.capnp";
@0xd2a86f1b3c5e7701;
$Go.package("discoverywire");
$Go.import("nickelline/internal/discovery/discoverywire");

# One complete listing of the platform's backends (discovery.List). Each service, zone and version is listed once in
# `names`, and backends refer to it by its index there.
struct Reading {
  names @0 :List(Text);
  backends @1 :List(Backend);
  pages @2 :UInt16;
  # Number of calls of the poll that produced the listing, 0 if unknown.
}

struct Backend {
  id @0 :Text;
  service @1 :UInt32;
  zone @2 :UInt32;
  version @3 :UInt32;
  address @4 :UInt32;
  # IPv4 address as a number; the first octet is the most significant byte.
  port @5 :UInt16;
  draining @6 :Bool;
  slots @7 :UInt32;
  coldMs @8 :UInt32;
}
