# Messages between routers. The generated Rust code in src/generated/ is
# committed; README.md beside this file says how to generate it again.
#
# Rows are kept as parallel lists, one per column. Consecutive messages on a
# stream repeat whole columns (names, held slots), which deflate replaces by
# one back reference per column; rows of mixed fields would break each match.
@0xb1c6a7d2e94f3a58;

struct Member {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct Update {
  member @0 :Member;
  httpAddress @1 :Text;
  peerAddress @2 :Text;
  failureDomain @3 :Text;
  epoch @4 :UInt32;
  state @5 :UInt8;
}

struct Heartbeat {
  sender @0 :Update;
  revision @1 :UInt64;
  viewHash @2 :UInt64;
  updates @3 :List(Update);
  wantsAll @4 :Bool;
}

struct Shard {
  service @0 :Text;
  index @1 :UInt32;
}

struct Standings {
  workspaces @0 :List(Text);
  # Lowest virtual time; the others are offsets from it in units of 1/256.
  base @1 :Float64;
  offsets @2 :List(UInt64);
  includedCosts @3 :List(UInt64);
}

struct Slots {
  upstreams @0 :List(Text);
  held @1 :List(UInt16);
  inFlight @2 :List(UInt16);
}

struct Report {
  shard @0 :Shard;
  router @1 :Member;
  # A null owner means that no allocation was applied.
  appliedOwner @2 :Member;
  appliedSeq @3 :UInt64;
  workspaces @4 :List(Text);
  servedCosts @5 :List(UInt64);
  reservedCosts @6 :List(UInt64);
  inFlight @7 :List(UInt32);
  waiting @8 :List(UInt32);
  slots @9 :Slots;
  standings @10 :Standings;
  seq @11 :UInt64;
  maxCost @12 :UInt64;
  maxRate @13 :UInt64;
}

struct Allocation {
  shard @0 :Shard;
  owner @1 :Member;
  seq @2 :UInt64;
  validForMs @3 :UInt64;
  nextReportMs @4 :UInt64;
  saturated @5 :Bool;
  slots @6 :Slots;
  standings @7 :Standings;
  answers @8 :UInt64;
  virtualTime @9 :Float64;
}

struct Rows {
  shard @0 :Shard;
  owner @1 :Member;
  workspaces @2 :List(Text);
  costs @3 :List(UInt64);
}

struct Config {
  revision @0 :UInt64;
  union {
    current @1 :Void;
    delta @2 :Data;
    document @3 :Data;
  }
}

interface Peer {
  heartbeat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  exchange @1 (reports :List(Report)) -> (allocations :List(Allocation));
  merge @2 (rows :List(Rows)) -> (rows :List(Rows));
  allocate @3 (allocations :List(Allocation)) -> ();
  fetchConfig @4 (since :UInt64) -> (config :Config);
  claim @5 (key :Text) -> (state :UInt8);
}
