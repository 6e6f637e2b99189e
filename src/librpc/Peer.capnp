@0xd3a1f0c2b7e64519;
# Calls between processes of the system. The generated files Peer.capnp.h and Peer.capnp.c++ are
# committed; scripts/generate-rpc regenerates them after a change to this file.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("fescuegauge::rpc");

struct Hello {
  # Sent by both sides before any other call. A process refuses an unsupported protocol version.
  protocolVersion @0 :UInt32;
  deployment @1 :Text;
  instance @2 :Text;
  incarnation @3 :UInt64;
  dataCentre @4 :Text;
  isEntry @5 :Bool;
  attemptSource @6 :Text;
  # Identifies this process as the source of attempts.
  nextAttempt @7 :UInt64;
  # Number of the next attempt of this source.
}

struct AttemptRequest {
  attempt @0 :Text;
  request @1 :Text;
  account @2 :Text;
  service @3 :Text;
  workClass @4 :Text;
  execution @5 :Text;
  # Key for duplicate detection: the claim of non-idempotent work, otherwise the attempt.
  nonIdempotent @6 :Bool;
  generation @7 :Text;
  requiredDigest @8 :Data;
  # Empty, or the root digest that must be served.
  resumeFrom @9 :UInt64;
  # Number of bytes of the answer that the caller has already received.
  priority @10 :Int32;
  timeoutMs @11 :UInt32;
  body @12 :Data;
  suspect @13 :SuspectRequest;
  # Computed by the entry instance; identifies what requests that crash engines have in common.
}

struct SuspectKey {
  kind @0 :UInt8;
  # 0 request, 1 prompt part.
  id @1 :Text;
}

struct SuspectRequest {
  account @0 :Text;
  keys @1 :List(SuspectKey);
}

struct EngineLoss {
  # A loss of an agent's engine.
  engineIncarnation @0 :UInt64;
  unstarted @1 :List(SuspectRequest);
  # Requests of all entry instances that were running on the engine and had not begun.
}

enum AttemptStatus {
  complete @0;
  refused @1;
  # Not executed; a duplicate that arrives later will be refused too.
  failed @2;
  # The engine returned an error or aborted the answer.
  cancelled @3;
  engineLost @4;
  # The engine was lost; all attempts that were running on it end with this status.
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
  # Receives the answer to one attempt, in the process that dispatched it.
  fragment @0 (attempt :Text, offset :UInt64, data :Data, servedDigest :Data) -> ();
  end @1 (attempt :Text, end :AttemptEnd) -> ();
}

enum Topic {
  # Subject of a control message; each has its own payload encoding.
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
  epoch @2 :UInt64;
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
  currentEpoch @6 :UInt64;
}

struct UpstreamStart {
  upstream @0 :Text;
  incarnation @1 :UInt64;
}

struct CrashEvidence {
  crash @0 :UpstreamStart;
  ageMs @1 :UInt64;
  request @2 :SuspectRequest;
}

struct BegunKey {
  key @0 :SuspectKey;
  ageMs @1 :UInt64;
}

struct Quarantine {
  keys @0 :List(SuspectKey);
  hasAccount @1 :Bool;
  account @2 :Text;
  lastCrash @3 :UpstreamStart;
  ageMs @4 :UInt64;
}

struct SuspectUpdate {
  evidence @0 :List(CrashEvidence);
  begun @1 :List(BegunKey);
  quarantines @2 :List(Quarantine);
}

struct ChunkSummary {
  root @0 :Data;
  epoch @1 :UInt32;
  from @2 :UInt32;
  indices @3 :List(UInt32);
  wantsAll @4 :Bool;
}

struct Confirmation {
  # An entry instance's reply to an agent that asks for confirmation before it commands its engine.
  change @0 :UInt64;
  agentIncarnation @1 :UInt64;
  # Highest incarnation of the requesting agent that the entry instance has seen; 0 if none.
}

struct AttemptStatement {
  attempt @0 :Text;
  state @1 :UInt8;
  # Position in AttemptState; 255 if the agent has no record of the attempt.
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
