using Go = import "/go.capnp";
@0xe4b1c09d7a3f5502;
$Go.package("quotawire");
$Go.import("nickelline/internal/quota/quotawire");

# A proxy renews its leases and asks for single requests.
struct Renewal {
  generation @0 :UInt64;
  # Random number of the proxy's process.
  sequence @1 :UInt64;
  # Rises with each request of the process; the allocator takes none twice and none out of order.
  entries @2 :List(RenewalEntry);
  epoch @3 :UInt64;
  # Newest epoch of an allocator that the process has heard of.
  complete @4 :Bool;
  # The entries hold all leases of the process.
  leaving @5 :Bool;
  # The process is about to end: it holds nothing and asks for nothing any more.
}

struct RenewalEntry {
  tenant @0 :Text;
  rate @1 :Float64;
  # Requests a second that the proxy's lease allows.
  depth @2 :Float64;
  # Requests that the proxy may save up.
  demand @3 :Float64;
  # Requests a second that have lately come.
  need @4 :UInt32;
  # Requests that are waiting for a grant.
  returned @5 :Float64;
  # What the lease gave beyond its depth since the last renewal, handed back to all.
}

# The allocator's answer. Entries stand in the order of the request.
struct Answer {
  entries @0 :List(AnswerEntry);
  moved @1 :Bool;
  # This node is not the allocator, and nothing is granted.
  allocator @2 :Data;
  # Address of the allocator as far as known: four bytes of the IPv4 number, two of the port, in network order.
  epoch @3 :UInt64;
  # That of the allocator, if this node is the allocator.
  mustReclaim @4 :Bool;
  # The allocator waits for a complete renewal of this process.
  unsettled @5 :Bool;
  # What was not granted may be under the limits: the allocator knows not all leases yet, or records that it spends a reserve.
}

# A new allocator tells a proxy of itself.
struct Announcement {
  epoch @0 :UInt64;
}

struct AnswerEntry {
  rate @0 :Float64;
  depth @1 :Float64;
  granted @2 :UInt32;
  retryAfterMs @3 :UInt32;
  # When more may be granted; 0: at once.
}
