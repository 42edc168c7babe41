@0xc4a8e5d17b90f36a;
# Messages between entry hosts about idempotency claims.
# Fields are only added, at the end, with a default that is right for older hosts,
# which do not know them.

enum State {
  claimed @0;
  finished @1;
  unknown @2;
  released @3;
}

struct Record {
  # Digest of workspace and key; the key itself is not sent to other hosts.
  place @0 :Text;
  digest @1 :Text;
  claimId @2 :Text;
  hostId @3 :Text;
  lifetimeSeconds @4 :Float64;
  state @5 :State;
  hasAnswer @6 :Bool;
  answer @7 :Data;
}

struct StateAsk {
  place @0 :Text;
  claimId @1 :Text;
}

struct StateAnswer {
  isFound @0 :Bool;
  record @1 :Record;
}
