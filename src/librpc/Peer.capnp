@0xd3a1f0c2b7e64519;
# Calls between processes of the system. The generated files Peer.capnp.h and Peer.capnp.c++ are
# committed; scripts/generate-rpc makes them again after a change here.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("fescuegauge::rpc");

struct Hello {
  # Sent by both sides before any other call. A process refuses a version that it does not speak.
  protocolVersion @0 :UInt32;
  deployment @1 :Text;
  instance @2 :Text;
  incarnation @3 :UInt64;
  dataCentre @4 :Text;
  isEntry @5 :Bool;
}

struct AttemptRequest {
  attempt @0 :Text;
  request @1 :Text;
  account @2 :Text;
  service @3 :Text;
  workClass @4 :Text;
  execution @5 :Text;
  # Names the work for duplicate detection: the claim of non-idempotent work, else the attempt.
  nonIdempotent @6 :Bool;
  generation @7 :Text;
  requiredDigest @8 :Data;
  # Empty, or the root digest that must be served.
  resumeFrom @9 :UInt64;
  # Bytes of the answer that the caller already has.
  priority @10 :Int32;
  timeoutMs @11 :UInt32;
  body @12 :Data;
}

enum AttemptStatus {
  complete @0;
  refused @1;
  # Not run, and a late copy will be refused too.
  failed @2;
  # The engine answered with an error or broke off.
  cancelled @3;
}

struct AttemptEnd {
  status @0 :AttemptStatus;
  wasRun @1 :UInt8;
  # 0 no, 1 yes, 2 unknown.
  reason @2 :Text;
  totalBytes @3 :UInt64;
  servedDigest @4 :Data;
}

interface AttemptSink {
  # Held by the process that dispatched an attempt; receives its answer.
  fragment @0 (attempt :Text, offset :UInt64, data :Data, servedDigest :Data) -> ();
  end @1 (attempt :Text, end :AttemptEnd) -> ();
}

enum Topic {
  # Subject of a control message; each has a codec of its own for the payload.
  membership @0;
  configuration @1;
  claims @2;
  weights @3;
  suspects @4;
  load @5;
  operator @6;
}

interface Peer {
  hello @0 (hello :Hello) -> (accepted :Bool, reason :Text, hello :Hello);
  heartbeat @1 () -> ();
  runAttempt @2 (request :AttemptRequest, sink :AttemptSink) -> ();
  cancelAttempt @3 (attempt :Text) -> ();
  fetchChunk @4 (digest :Data) -> (found :Bool, data :Data);
  control @5 (topic :Topic, payload :Data) -> (payload :Data);
}
