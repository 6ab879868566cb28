using Go = import "/go.capnp";
using Batch = import "/internal/batch/batchwire/batchwire.capnp";
@0xc8f1d27a5be64013;
$Go.package("batchcallwire");
$Go.import("nickelline/internal/batch/batchcall/batchcallwire");

# Requests to the head of a batch partition, and the reply to them. messages.go of package batchcall, and batch.go and
# read.go of package batch document the fields.

struct SubmitRequest {
  partition @0 :UInt32;
  job @1 :Batch.Job;
  maxQueuedTokens @2 :Int64;
}

struct OfferRequest {
  partition @0 :UInt32;
  key @1 :Batch.Key;
  route @2 :Text;
  tokens @3 :Int64;
  maxQueuedTokens @4 :Int64;
}

struct ResultsRequest {
  partition @0 :UInt32;
  key @1 :Batch.Key;
  startAfter @2 :UInt32;
  waitMs @3 :UInt32;
  maxBytes @4 :UInt32;
}

struct BodyRequest {
  partition @0 :UInt32;
  key @1 :Batch.Key;
  identifier @2 :Text;
}

struct EndRequest {
  partition @0 :UInt32;
  key @1 :Batch.Key;
}

struct Listed {
  identifier @0 :Text;
  state @1 :Batch.State;
  content @2 :Data;
}

struct Page {
  total @0 :UInt32;
  next @1 :UInt32;
  results @2 :List(Listed);
}

struct Redirect {
  epoch @0 :UInt64;
  headIp @1 :Data;
  headPort @2 :UInt16;
}

struct Reply {
  union {
    done @0 :Void;
    redirect @1 :Redirect;
    page @2 :Page;
    body @3 :Data;
  }
}
