@0xc4a8e5d17b90f36a;
# What entry hosts ask each other about idempotency claims.
# Fields are only ever added, at the end, with a default that an older host
# may assume.

enum State {
  claimed @0;
  finished @1;
  unknown @2;
  released @3;
}

struct Record {
  workspace @0 :Text;
  key @1 :Text;
  digest @2 :Text;
  claimId @3 :Text;
  hostId @4 :Text;
  startNumber @5 :UInt64;
  lifetimeSeconds @6 :Float64;
  state @7 :State;
  hasAnswer @8 :Bool;
  answer @9 :Data;
}

struct Known {
  id @0 :Text;
  zone @1 :Text;
}

struct RecordAsk {
  record @0 :Record;
  # Digest of the asking host's list of entry hosts.
  knownDigest @1 :UInt64;
  # Requests proven not to run under this key; their records give way.
  superseded @2 :List(Text);
}

struct RecordAnswer {
  isRecorded @0 :Bool;
  # Whether the keeper remembers every claim that may still be in force.
  vouches @1 :Bool;
  isHeld @2 :Bool;
  held @3 :Record;
  # The keeper's entry hosts, only where the digests differ.
  known @4 :List(Known);
}

struct StateAnswer {
  isFound @0 :Bool;
  record @1 :Record;
}

struct BookAsk {
  # Places after this one, in order of workspace and key.
  afterWorkspace @0 :Text;
  afterKey @1 :Text;
}

struct BookAnswer {
  vouches @0 :Bool;
  isLast @1 :Bool;
  records @2 :List(Record);
}
