using Go = import "/go.capnp";
@0xb7f04d2c916ae853;
$Go.package("loadwire");
$Go.import("nickelline/internal/load/loadwire");

# Load that one or several nodes cause at one backend. A number that exceeds the range of its field is sent as the
# maximum of the field.
struct Load {
  inFlight @0 :UInt16;
  # Requests without a complete response.
  batch @1 :UInt16;
  # Those of the requests in flight that are items of batch jobs.
  unanswered @2 :UInt8;
  # Those of the requests in flight without the first byte of a response.
  pending @3 :UInt16;
  # Total size of the unanswered requests, in hundredths of the size of a mean request.
}

# A node reports the loads that it causes at the backends of a service to the collector of its zone.
struct Report {
  service @0 :Text;
  backends @1 :List(UInt32);
  # Hashes of the backends' identifiers.
  loads @2 :List(Load);
  # In the order of `backends`. Unless the report is complete, backends without requests of the node are left out.
  complete @3 :Bool;
  # The report lists all backends that the node uses. From now on, responses hold the loads of these backends in this
  # order.
  unasking @4 :Bool;
  # The node expects no response.
}

# The collector responds with the loads that all nodes cause at the backends that the receiver uses.
struct Answer {
  service @0 :Text;
  table @1 :UInt32;
  # Hash of the backends in the receiver's last complete report; 0: the collector has no complete report and needs one.
  loads @2 :List(Load);
  # In the order of the backends in that report.
}

# The collector of a zone sends the loads that the nodes of its zone cause to the collectors of the other zones.
struct Summary {
  service @0 :Text;
  zone @1 :Text;
  backends @2 :List(UInt32);
  loads @3 :List(Load);
  part @4 :UInt16;
  # Number of the chunk: a long summary is split into several datagrams, numbered from 0.
}
