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
  attemptSource @6 :Text;
  # Names this process as the origin of attempts.
  nextAttempt @7 :UInt64;
  # The number that the process will give to its next attempt.
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
  bodyDigest @13 :Data;
  # As the entry instance computed it, for recognising requests that crash engines.
}

struct SuspectKey {
  account @0 :Text;
  bodyDigest @1 :Data;
}

struct EngineLoss {
  # One loss of the engine beside an agent.
  engineIncarnation @0 :UInt64;
  running @1 :List(SuspectKey);
  # The requests of all entry instances that ran on it.
}

enum AttemptStatus {
  complete @0;
  refused @1;
  # Not run, and a late copy will be refused too.
  failed @2;
  # The engine answered with an error or broke off.
  cancelled @3;
  engineLost @4;
  # The engine is gone; every attempt that it ran ends like this.
}

struct AttemptEnd {
  status @0 :AttemptStatus;
  wasRun @1 :UInt8;
  # 0 no, 1 yes, 2 unknown.
  reason @2 :Text;
  totalBytes @3 :UInt64;
  servedDigest @4 :Data;
  error @5 :Text;
  # Name of the error kind of a refusal.
  agentIncarnation @6 :UInt64;
  loss @7 :EngineLoss;
  # Set with status engineLost.
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
  attempts @5;
  operator @6;
}

struct AgentReport {
  # An agent's answer to a heartbeat: the state of its upstream.
  incarnation @0 :UInt64;
  isLeaving @1 :Bool;
  servedDigest @2 :Data;
  # Root digest of the version to which requests may be routed; empty if none.
  running @3 :UInt32;
  capacity @4 :UInt32;
  reportAgeMs @5 :UInt32;
  change @6 :UInt64;
  # Number of the configuration in force.
  losses @7 :List(EngineLoss);
  # The latest losses of the engine, for entry instances without an attempt on it.
}

struct RowCondition {
  key @0 :Text;
  version @1 :UInt64;
}

struct ClaimWrite {
  ticket @0 :Text;
  row @1 :RowCondition;
  value @2 :Text;
  guards @3 :List(RowCondition);
}

struct ClaimWriteResult {
  ticket @0 :Text;
  status @1 :UInt8;
  currentKey @2 :Text;
  currentValue @3 :Text;
  currentVersion @4 :UInt64;
  reason @5 :Text;
}

struct SuspectDelta {
  account @0 :Text;
  bodyDigest @1 :Data;
  upstream @2 :Text;
  incarnation @3 :UInt64;
  cleared @4 :Bool;
  ageMs @5 :UInt64;
}

struct SuspectDeltas {
  deltas @0 :List(SuspectDelta);
}

struct ChunkSummary {
  root @0 :Data;
  epoch @1 :UInt32;
  from @2 :UInt32;
  indices @3 :List(UInt32);
  wantsAll @4 :Bool;
}

struct Confirmation {
  # What an entry instance knows, for an agent that is about to command its engine.
  change @0 :UInt64;
  agentIncarnation @1 :UInt64;
  # The highest incarnation of the asking agent that is known.
}

struct AttemptStatement {
  attempt @0 :Text;
  state @1 :UInt8;
  # 255 if the agent no longer knows, else the position in AttemptState.
  agentIncarnation @2 :UInt64;
  isAnswerRecorded @3 :Bool;
  answer @4 :Data;
}

interface Peer {
  hello @0 (hello :Hello) -> (accepted :Bool, reason :Text, hello :Hello);
  heartbeat @1 () -> (report :Data);
  runAttempt @2 (request :AttemptRequest, sink :AttemptSink) -> ();
  cancelAttempt @3 (attempt :Text) -> ();
  fetchChunk @4 (digest :Data) -> (found :Bool, data :Data, busy :Bool);
  control @5 (topic :Topic, payload :Data) -> (payload :Data);
}
