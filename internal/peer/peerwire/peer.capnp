using Go = import "/go.capnp";
@0xc3a1f07be29d4461;
$Go.package("peerwire");
$Go.import("nickelline/internal/peer/peerwire");

# A frame of a connection, or a whole datagram.
struct Frame {
  kind @0 :UInt16;
  # Type of the message, which determines the package that decodes the body; 0 for frames of the transport itself.
  body @1 :Data;

  union {
    hello :group {
      # The first frame of a connection in each direction.
      address @2 :Data;
      # Listening address of the sender: four bytes of IPv4 address and two of port, in network byte order.
      generation @3 :UInt64;
      # Random number that identifies the sending process.
    }
    request :group {
      call @4 :UInt64;
      remainingMicros @5 :UInt64;
      # Time until the caller's deadline, in microseconds; 0: no deadline.
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
    # The sender starts no new requests or one-way messages on this connection, and the receiver must not either.
  }
}
