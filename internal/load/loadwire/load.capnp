using Go = import "/go.capnp";
@0xb7f04d2c916ae853;
$Go.package("loadwire");
$Go.import("nickelline/internal/load/loadwire");

# What some nodes have at one backend.
struct Load {
  inFlight @0 :UInt16;
  # Requests without a complete answer.
  batch @1 :UInt16;
  # Of those, items of batch jobs.
  unanswered @2 :UInt8;
  # Of those in flight, requests without a first part of an answer; the greatest number: as many or more.
  pending @3 :UInt16;
  # Size of the unanswered requests, in hundredths of a mean one.
}

# A node tells its collector what it has at the backends of a service.
struct Report {
  service @0 :Text;
  backends @1 :List(UInt32);
  # Hashes of the backends' identifiers.
  loads @2 :List(Load);
  # In the order of the backends. Those at which the node has nothing may be left out.
  complete @3 :Bool;
  # The report names all backends that the node uses: answers are to tell of these in this order from now on.
  unasking @4 :Bool;
  # No answer is wanted.
}

# The collector answers with what all nodes have at the backends that the node uses.
struct Answer {
  service @0 :Text;
  table @1 :UInt32;
  # Hash of the backends of the node's last complete report; 0: there is none, and the collector needs one.
  loads @2 :List(Load);
  # In the order of these backends.
}

# The collector of a zone tells those of other zones what the nodes of its zone have.
struct Summary {
  service @0 :Text;
  zone @1 :Text;
  backends @2 :List(UInt32);
  loads @3 :List(Load);
  part @4 :UInt16;
  # Long summaries come in several datagrams, numbered from 0.
}
