# Messages between routers. The generated Rust code in src/generated/ is
# committed; README.md beside this file says how to generate it again.
#
# Rows are kept as parallel lists, one per column. Consecutive messages on a
# stream repeat whole columns (names, held slots), which deflate replaces by
# one back reference per column; rows of mixed fields would break each match.
# Numbers are split for the same reason: the high parts of a column seldom
# change, and the low parts take no filling zeros.
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

struct Numbers {
  low @0 :List(UInt16);
  high @1 :List(UInt64);
}

# Counts up to 65,535.
struct Counts {
  low @0 :List(UInt8);
  high @1 :List(UInt8);
}

struct Standings {
  workspaces @0 :List(Text);
  # Lowest virtual time; the others are offsets from it in units of 1/8.
  base @1 :Float64;
  offsets @2 :Numbers;
  includedCosts @3 :Numbers;
}

struct Slots {
  upstreams @0 :List(Text);
  held @1 :Counts;
  inFlight @2 :Counts;
}

struct Report {
  shard @0 :Shard;
  router @1 :Member;
  # A null owner means that no allocation was applied.
  appliedOwner @2 :Member;
  appliedSeq @3 :UInt64;
  workspaces @4 :List(Text);
  servedCosts @5 :Numbers;
  reservedCosts @6 :Numbers;
  inFlight @7 :Counts;
  waiting @8 :Counts;
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
  confirm @10 :Bool;
}

struct Rows {
  shard @0 :Shard;
  owner @1 :Member;
  workspaces @2 :List(Text);
  costs @3 :Numbers;
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
