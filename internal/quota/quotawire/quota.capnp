using Go = import "/go.capnp";
@0xe4b1c09d7a3f5502;
$Go.package("quotawire");
$Go.import("nickelline/internal/quota/quotawire");

# A proxy renews its leases, and requests grants for waiting requests.
struct Renewal {
  generation @0 :UInt64;
  # Random number that identifies the proxy's process.
  sequence @1 :UInt64;
  # Rises with each renewal of the process. The allocator rejects repeated renewals and those that arrive out of order.
  entries @2 :List(RenewalEntry);
  epoch @3 :UInt64;
  # Newest epoch of an allocator that the process knows.
  complete @4 :Bool;
  # The entries name all leases of the process.
  leaving @5 :Bool;
  # The process is about to exit. It has given up all leases and requests none.
}

struct RenewalEntry {
  tenant @0 :Text;
  rate @1 :Float64;
  # Rate of the proxy's lease, in requests a second.
  depth @2 :Float64;
  # Depth of the proxy's lease: the number of requests that the proxy may save up.
  demand @3 :Float64;
  # Smoothed rate of arrivals, in requests a second.
  need @4 :UInt32;
  # Number of requests that wait for a grant.
  returned @5 :Float64;
  # Tokens that the lease gave beyond its depth since the last renewal, returned to the allocator's bucket.
}

# The answer to a renewal. Its entries are in the order of those of the renewal.
struct Answer {
  entries @0 :List(AnswerEntry);
  moved @1 :Bool;
  # This node is not the allocator and grants nothing.
  allocator @2 :Data;
  # With moved: address of the allocator, four bytes of IPv4 address and two of port, in network byte order; empty if
  # unknown.
  epoch @3 :UInt64;
  # Epoch of the allocator, if this node is the allocator.
  mustReclaim @4 :Bool;
  # The allocator does not know all leases of the process and waits for a complete renewal.
  unsettled @5 :Bool;
  # Requests were not granted though a tenant may be under its limit: the allocator does not yet know all leases, or a
  # reserve is not yet recorded as spent.
}

# A new allocator announces itself to a proxy.
struct Announcement {
  epoch @0 :UInt64;
}

struct AnswerEntry {
  rate @0 :Float64;
  depth @1 :Float64;
  granted @2 :UInt32;
  retryAfterMs @3 :UInt32;
  # Time in milliseconds until more may be granted; 0: at once.
}
