using Go = import "/go.capnp";
@0xc3a1f07be29d4461;
$Go.package("peerwire");
$Go.import("nickelline/internal/peer/peerwire");

# One frame of a connection, or the whole of a datagram.
struct Frame {
  kind @0 :UInt16;
  # Tells the package that owns the body; 0 for frames of the transport itself.
  body @1 :Data;

  union {
    hello :group {
      # First frame in both directions.
      address @2 :Data;
      # Listening address of the sender: four bytes of the IPv4 number, two of the port, in network order.
      generation @3 :UInt64;
      # Random number of the sending process.
    }
    request :group {
      call @4 :UInt64;
      remainingMicros @5 :UInt64;
      # What is left of the caller's time; 0: not limited.
    }
    answer :group {
      call @6 :UInt64;
    }
    failure :group {
      # The body holds the text of the error.
      call @7 :UInt64;
      errorKind @8 :UInt8;
    }
    oneWay @9 :Void;
    datagram @10 :Void;
    retire @11 :Void;
    # The sender begins nothing new on this connection, and the receiver must not either.
  }
}
