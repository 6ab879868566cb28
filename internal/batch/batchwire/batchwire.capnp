using Go = import "/go.capnp";
@0xd6a1c5f2b7e03914;
$Go.package("batchwire");
$Go.import("nickelline/internal/batch/batchwire");

# Commands of the state machine of a batch partition, and its snapshots. batch.go, job.go, checkpoint.go and clock.go
# of package batch document the fields. A snapshot is a SnapshotHeader and one JobState for each job, each in a frame as
# snapshot.go describes it.

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Item {
  identifier @0 :Text;
  path @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;
  tokens @4 :Int64;
}

struct Key {
  tenant @0 :Text;
  identifier @1 :Text;
}

struct Job {
  key @0 :Key;
  route @1 :Text;
  host @2 :Text;
  items @3 :List(Item);
  prefix @4 :Text;
  retention @5 :Int64;
  maxAttempts @6 :UInt32;
}

enum State {
  waiting @0;
  completed @1;
  abandoned @2;
}

struct Result {
  key @0 :Key;
  index @1 :UInt32;
  state @2 :State;
  content @3 :Data;
  from @4 :UInt32;
  events @5 :UInt32;
  lastEvent @6 :Text;
}

struct Failure {
  key @0 :Key;
  index @1 :UInt32;
  serverErrors @2 :UInt32;
}

struct Submit {
  job @0 :Job;
  maxQueuedTokens @1 :Int64;
}

struct Command {
  clockSource @0 :UInt64;
  clockElapsed @1 :Int64;
  union {
    tick @2 :Void;
    submit @3 :Submit;
    append @4 :List(Result);
    end @5 :Key;
    drop @6 :List(Key);
    fail @7 :List(Failure);
  }
}

struct SnapshotHeader {
  clockSource @0 :UInt64;
  clockElapsed @1 :Int64;
  clockNow @2 :Int64;
  nextOrdinal @3 :UInt64;
  jobs @4 :UInt32;
}

struct Checkpoint {
  events @0 :UInt32;
  lastEvent @1 :Text;
  content @2 :Data;
}

struct ItemState {
  item @0 :Item;
  state @1 :State;
  content @2 :Data;
  checkpoints @3 :List(Checkpoint);
  serverErrors @4 :UInt32;
}

struct JobState {
  key @0 :Key;
  route @1 :Text;
  host @2 :Text;
  ordinal @3 :UInt64;
  submittedAt @4 :Int64;
  submitted @5 :Bool;
  ended @6 :Bool;
  items @7 :List(ItemState);
  positions @8 :List(UInt32);
  prefix @9 :Text;
  retention @10 :Int64;
  maxAttempts @11 :UInt32;
}
