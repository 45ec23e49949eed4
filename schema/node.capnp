@0xd3a1c5f0b7e24961;
# Control protocol between the processes of endivedyke; see docs/DESIGN.md, "Control links".

struct Entry {
  # A name and the state of its value; `version` is its writer's, 0 where there is none.
  name @0 :Text;
  revision @1 :UInt64;
  version @2 :UInt64;
}

struct Value {
  # A published value, whole (base = 0) or as a change of lines against revision `base`.
  name @0 :Text;
  revision @1 :UInt64;
  base @2 :UInt64;
  keptLines @3 :UInt32;
  removedLines @4 :UInt32;
  text @5 :Text;
  digest @6 :UInt64;
  version @7 :UInt64;
}

struct Digest {
  highest @0 :UInt64;
  hash @1 :UInt64;
}

struct LoadReport {
  host @0 :UInt32;
  incarnation @1 :UInt32;
  sequence @2 :UInt32;
  openFlows @3 :UInt32;
  busySlots @4 :UInt16;
  ageCs @5 :UInt16;
  sharePermille @6 :UInt16;
  busyCentislots @7 :UInt16;
}

struct Header {
  name @0 :Text;
  value @1 :Data;
}

struct Request {
  service @0 :UInt32;
  method @1 :Text;
  path @2 :Text;
  headers @3 :List(Header);
  body @4 :Data;
  timeoutMs @5 :UInt32;
}

struct Answer {
  code @0 :UInt16;
  status @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
  retryAfterMs @4 :UInt32;
}

interface Node {
  compare @0 (mine :Digest) -> (theirs :Digest);
  changes @1 (floor :UInt64) -> (entries :List(Entry));
  fetch @2 (wanted :List(Entry)) -> (values :List(Value), handled :UInt32);
  # Each entry names a value and the revision that the asker has. An answer is bounded: it covers the
  # first `handled` entries, and the asker asks again for the rest.
  tell @3 (value :Value) -> (revision :UInt64);
  exchangeLoad @4 (service :UInt32, reports :List(LoadReport)) -> (reports :List(LoadReport));
  offer @5 (service :UInt32, timeoutMs :UInt32) -> (ticket :Data, code :UInt16, retryAfterMs :UInt32);
  run @6 (ticket :Data, request :Request) -> (answer :Answer);
  cancel @7 (ticket :Data) -> ();
  state @8 () -> (json :Text);
}
