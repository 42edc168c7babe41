@0xd2a6b8e17f40c935;
# Frames between entry hosts.  A datagram carries one Frame; a connection
# carries Question and Answer alternately.  Fields are never changed or removed, and new
# ones are added at the end.

enum State {
  live @0;
  suspect @1;
  leaving @2;
  dead @3;
}

struct Update {
  id @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  refutation @4 :UInt32;
  state @5 :State;
  accuser @6 :Text;
}

struct Frame {
  schemaVersion @0 :UInt16;
  sender @1 :Update;
  sequence @2 :UInt64;
  digest @3 :UInt64;
  updates @4 :List(Update);
  number @5 :UInt64;
  # Number of the probe that this frame sends, answers or requests of another host.
  body :union {
    ping @6 :Void;
    ack @7 :Void;
    relay @8 :Text;
    # Address of the member to probe on the sender's behalf.
    news @9 :News;
  }
}

struct News {
  topic @0 :Text;
  payload @1 :Data;
}

struct Question {
  schemaVersion @0 :UInt16;
  sender @1 :Text;
  recipient @2 :Text;
  number @3 :UInt64;
  topic @4 :Text;
  payload @5 :Data;
}

struct Answer {
  number @0 :UInt64;
  payload @1 :Data;
  faultCode @2 :UInt16;
  # 0 if the request was answered.
  faultDetail @3 :Text;
  retryAfterMs @4 :UInt32;
}

struct Updates {
  updates @0 :List(Update);
}
