@0xb1f0c7a95d3e4a21;
# Messages between entry hosts about the fleet; one struct per topic.
# Fields are only added, at the end, with a default that is right for older hosts,
# which do not know them.

struct Fact {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
  value @3 :Data;
}

struct FactVersion {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
}

struct FactBatch {
  facts @0 :List(Fact);
}

struct SyncQuestion {
  # One digest per bucket of the requesting host's table.
  bucketDigests @0 :List(UInt64);
}

struct SyncAnswer {
  # Versions known to the answering host in the buckets that differ.
  isKnown @0 :Bool;
  versions @1 :List(FactVersion);
  bucketDigests @2 :List(UInt64);
}

struct SyncExchange {
  wanted @0 :List(FactVersion);
  offered @1 :List(Fact);
}

struct LoadReport {
  targetId @0 :Text;
  incarnation @1 :UInt64;
  firstLayer @2 :UInt32;
  endLayer @3 :UInt32;
  model @4 :Text;
  modelVersion @5 :Text;
  inFlight @6 :UInt32;
  queued @7 :UInt32;
  slots @8 :UInt32;
  stepUs @9 :UInt32;
  leaving @10 :Bool;
  checksFencing @11 :Bool;
  measuredMsAgo @12 :UInt32;
}

struct LoadBatch {
  reports @0 :List(LoadReport);
  # Below, in brief: one entry per target that was reported completely before.
  targetHashes @1 :List(UInt64);
  inFlight @2 :List(UInt16);
  queued @3 :List(UInt16);
  stepMs @4 :List(UInt16);
}

struct ProfileVersions {
  versions @0 :List(FactVersion);
}
