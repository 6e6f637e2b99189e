#include "Fescuegauge/ControlCodec.h"

#include "CapnpText.h"
#include "EngineLossCodec.h"
#include "Peer.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

namespace fescuegauge {

namespace {

constexpr std::uint8_t UnknownState = 255;

std::string serialized(capnp::MessageBuilder &Message) {
  auto Words = capnp::messageToFlatArray(Message);
  auto Chars = Words.asChars();
  return {Chars.begin(), Chars.size()};
}

/// Decodes a message of type `Schema` with `Read`. Empty if the payload is malformed or `Read`
/// returns false because a value is out of range.
template <typename Schema, typename Result, typename Reader>
std::optional<Result> decoded(std::string_view Payload, Reader Read) {
  std::optional<Result> Decoded;
  // Cap'n Proto requires word-aligned memory.
  auto Words =
      kj::heapArray<capnp::word>((Payload.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word));
  memset(Words.begin(), 0, Words.asBytes().size());
  memcpy(Words.begin(), Payload.data(), Payload.size());
  kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader Message(Words);
    Result Value;
    if (Read(Message.getRoot<Schema>(), Value))
      Decoded = std::move(Value);
  });
  return Decoded;
}

void encode(const RowCondition &Condition, rpc::RowCondition::Builder Out) {
  Out.setKey(Condition.m_Key);
  Out.setEpoch(Condition.m_Position.m_Epoch.value());
  Out.setVersion(Condition.m_Position.m_Version.value());
}

RowCondition decode(rpc::RowCondition::Reader In) {
  return {stringOf(In.getKey()), {StoreEpoch(In.getEpoch()), RowVersion(In.getVersion())}};
}

void encode(const UpstreamStart &Start, rpc::UpstreamStart::Builder Out) {
  Out.setUpstream(Start.m_Id.str());
  Out.setIncarnation(Start.m_Incarnation.value());
}

UpstreamStart decode(rpc::UpstreamStart::Reader In) {
  return {InstanceId(stringOf(In.getUpstream())), Incarnation(In.getIncarnation())};
}

std::uint64_t encodeAge(Duration Age) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Age).count());
}

/// Limits the age to the time for which evidence counts, so that sums with it do not overflow.
Duration decodeAge(std::uint64_t AgeMs) {
  return std::min<Duration>(
      CrashSuspects::Lifetime,
      std::chrono::milliseconds(std::min<std::uint64_t>(AgeMs, CrashSuspects::Lifetime.count())));
}

} // namespace

std::string encodePayload(const AgentReport &Report) {
  capnp::MallocMessageBuilder Message;
  auto Out = Message.initRoot<rpc::AgentReport>();
  Out.setIncarnation(Report.m_Incarnation.value());
  Out.setIsLeaving(Report.m_IsLeaving);
  if (!Report.m_ServedDigest.isZero())
    Out.setServedDigest(dataOf(Report.m_ServedDigest));
  Out.setRunning(Report.m_Running);
  Out.setCapacity(Report.m_Capacity);
  Out.setReportAgeMs(static_cast<std::uint32_t>(Report.m_Age.count() / 1000));
  Out.setChange(Report.m_Change.value());
  auto Losses = Out.initLosses(static_cast<unsigned>(Report.m_Losses.size()));
  for (unsigned I = 0; I < Losses.size(); ++I)
    encodeLoss(Report.m_Losses[I], Losses[I]);
  return serialized(Message);
}

std::string encodePayload(const ClaimWrite &Write) {
  capnp::MallocMessageBuilder Message;
  auto Out = Message.initRoot<rpc::ClaimWrite>();
  Out.setTicket(Write.m_Ticket.str());
  encode(Write.m_Row, Out.initRow());
  Out.setValue(Write.m_Value);
  auto Guards = Out.initGuards(static_cast<unsigned>(Write.m_Guards.size()));
  for (unsigned I = 0; I < Guards.size(); ++I)
    encode(Write.m_Guards[I], Guards[I]);
  return serialized(Message);
}

std::string encodePayload(const ClaimWriteResult &Result) {
  capnp::MallocMessageBuilder Message;
  auto Out = Message.initRoot<rpc::ClaimWriteResult>();
  Out.setTicket(Result.m_Ticket.str());
  Out.setStatus(static_cast<std::uint8_t>(Result.m_Status));
  Out.setCurrentKey(Result.m_Current.m_Key);
  Out.setCurrentValue(Result.m_Current.m_Value);
  Out.setCurrentEpoch(Result.m_Current.m_Position.m_Epoch.value());
  Out.setCurrentVersion(Result.m_Current.m_Position.m_Version.value());
  Out.setReason(std::string(errorAnswer(Result.m_Reason).m_Name));
  return serialized(Message);
}

std::string encodePayload(const SuspectUpdate &Update) {
  capnp::MallocMessageBuilder Message;
  auto Out = Message.initRoot<rpc::SuspectUpdate>();
  auto Evidence = Out.initEvidence(static_cast<unsigned>(Update.m_Evidence.size()));
  for (unsigned I = 0; I < Evidence.size(); ++I) {
    encode(Update.m_Evidence[I].m_Crash, Evidence[I].initCrash());
    Evidence[I].setAgeMs(encodeAge(Update.m_Evidence[I].m_Age));
    encode(Update.m_Evidence[I].m_Request, Evidence[I].initRequest());
  }
  auto Begun = Out.initBegun(static_cast<unsigned>(Update.m_Begun.size()));
  for (unsigned I = 0; I < Begun.size(); ++I) {
    encode(Update.m_Begun[I].m_Key, Begun[I].initKey());
    Begun[I].setAgeMs(encodeAge(Update.m_Begun[I].m_Age));
  }
  auto Quarantines = Out.initQuarantines(static_cast<unsigned>(Update.m_Quarantines.size()));
  for (unsigned I = 0; I < Quarantines.size(); ++I) {
    const Quarantine &Each = Update.m_Quarantines[I];
    encodeKeys(Each.m_Keys, Quarantines[I]);
    Quarantines[I].setHasAccount(Each.m_Account.has_value());
    Quarantines[I].setAccount(Each.m_Account.value_or(ClientAccountId()).str());
    encode(Each.m_LastCrash, Quarantines[I].initLastCrash());
    Quarantines[I].setAgeMs(encodeAge(Each.m_Age));
  }
  return serialized(Message);
}

std::string encodePayload(const ChunkSummary &Summary) {
  capnp::MallocMessageBuilder Message;
  auto Out = Message.initRoot<rpc::ChunkSummary>();
  Out.setRoot(dataOf(Summary.m_Root));
  Out.setEpoch(Summary.m_Epoch);
  Out.setFrom(Summary.m_From);
  auto Indices = Out.initIndices(static_cast<unsigned>(Summary.m_Indices.size()));
  for (unsigned I = 0; I < Indices.size(); ++I)
    Indices.set(I, Summary.m_Indices[I]);
  Out.setWantsAll(Summary.m_WantsAll);
  return serialized(Message);
}

std::string encodePayload(const AttemptStatementReply &Reply) {
  capnp::MallocMessageBuilder Message;
  auto Out = Message.initRoot<rpc::AttemptStatement>();
  Out.setAttempt(Reply.m_Statement.m_Attempt.str());
  Out.setState(Reply.m_Statement.m_State ? static_cast<std::uint8_t>(*Reply.m_Statement.m_State)
                                         : UnknownState);
  Out.setAgentIncarnation(Reply.m_Statement.m_Agent.value());
  Out.setIsAnswerRecorded(Reply.m_Answer.has_value());
  if (Reply.m_Answer)
    Out.setAnswer(dataOf(Reply.m_Answer->m_Body));
  return serialized(Message);
}

std::string encodePayload(const ConfirmationReply &Reply) {
  capnp::MallocMessageBuilder Message;
  auto Out = Message.initRoot<rpc::Confirmation>();
  Out.setChange(Reply.m_Change.value());
  Out.setAgentIncarnation(Reply.m_AgentIncarnation.value());
  return serialized(Message);
}

std::optional<ConfirmationReply> decodeConfirmation(std::string_view Payload) {
  return decoded<rpc::Confirmation, ConfirmationReply>(
      Payload, [](auto In, ConfirmationReply &Reply) {
        Reply.m_Change = ChangeNumber(In.getChange());
        Reply.m_AgentIncarnation = Incarnation(In.getAgentIncarnation());
        return true;
      });
}

std::optional<AgentReport> decodeAgentReport(std::string_view Payload) {
  return decoded<rpc::AgentReport, AgentReport>(Payload, [](auto In, AgentReport &Report) {
    Report.m_Incarnation = Incarnation(In.getIncarnation());
    Report.m_IsLeaving = In.getIsLeaving();
    Report.m_ServedDigest = digestOf(In.getServedDigest());
    Report.m_Running = In.getRunning();
    Report.m_Capacity = In.getCapacity();
    Report.m_Age = std::chrono::milliseconds(In.getReportAgeMs());
    Report.m_Change = ChangeNumber(In.getChange());
    for (auto Loss : In.getLosses())
      Report.m_Losses.push_back(decodeLoss(Loss));
    return true;
  });
}

std::optional<ClaimWrite> decodeClaimWrite(std::string_view Payload) {
  return decoded<rpc::ClaimWrite, ClaimWrite>(Payload, [](auto In, ClaimWrite &Write) {
    Write.m_Ticket = ClaimTicket(stringOf(In.getTicket()));
    Write.m_Row = decode(In.getRow());
    Write.m_Value = stringOf(In.getValue());
    for (auto Guard : In.getGuards())
      Write.m_Guards.push_back(decode(Guard));
    return Write.m_Guards.size() < Transaction::MaxRows;
  });
}

std::optional<ClaimWriteResult> decodeClaimWriteResult(std::string_view Payload) {
  return decoded<rpc::ClaimWriteResult, ClaimWriteResult>(
      Payload, [](auto In, ClaimWriteResult &Result) {
        Result.m_Ticket = ClaimTicket(stringOf(In.getTicket()));
        Result.m_Status = static_cast<ClaimWriteStatus>(In.getStatus());
        Result.m_Current = {stringOf(In.getCurrentKey()),
                            stringOf(In.getCurrentValue()),
                            {StoreEpoch(In.getCurrentEpoch()), RowVersion(In.getCurrentVersion())}};
        Result.m_Reason =
            errorKindFromName(stringOf(In.getReason())).value_or(ErrorKind::TableUnreachable);
        return In.getStatus() <= static_cast<std::uint8_t>(ClaimWriteStatus::Unknown);
      });
}

std::optional<SuspectUpdate> decodeSuspectUpdate(std::string_view Payload) {
  return decoded<rpc::SuspectUpdate, SuspectUpdate>(Payload, [](auto In, SuspectUpdate &Update) {
    for (auto Each : In.getEvidence())
      Update.m_Evidence.push_back({decode(Each.getCrash()), decodeAge(Each.getAgeMs()),
                                   decodeSuspectRequest(Each.getRequest())});
    for (auto Each : In.getBegun())
      Update.m_Begun.push_back({decodeSuspectKey(Each.getKey()), decodeAge(Each.getAgeMs())});
    for (auto Each : In.getQuarantines()) {
      std::optional<ClientAccountId> Account;
      if (Each.getHasAccount())
        Account = ClientAccountId(stringOf(Each.getAccount()));
      Update.m_Quarantines.push_back({decodeKeys(Each), std::move(Account),
                                      decode(Each.getLastCrash()), decodeAge(Each.getAgeMs())});
    }
    return true;
  });
}

std::optional<ChunkSummary> decodeChunkSummary(std::string_view Payload) {
  return decoded<rpc::ChunkSummary, ChunkSummary>(Payload, [](auto In, ChunkSummary &Summary) {
    Summary.m_Root = digestOf(In.getRoot());
    Summary.m_Epoch = In.getEpoch();
    Summary.m_From = In.getFrom();
    for (std::uint32_t Index : In.getIndices())
      Summary.m_Indices.push_back(Index);
    Summary.m_WantsAll = In.getWantsAll();
    return Summary.m_Indices.size() <= Manifest::MaxChunks;
  });
}

std::optional<AttemptStatementReply> decodeAttemptStatement(std::string_view Payload) {
  return decoded<rpc::AttemptStatement, AttemptStatementReply>(
      Payload, [](auto In, AttemptStatementReply &Reply) {
        Reply.m_Statement.m_Attempt = AttemptId(stringOf(In.getAttempt()));
        if (In.getState() != UnknownState)
          Reply.m_Statement.m_State = static_cast<AttemptState>(In.getState());
        Reply.m_Statement.m_Agent = Incarnation(In.getAgentIncarnation());
        if (In.getIsAnswerRecorded()) {
          Reply.m_Answer.emplace();
          Reply.m_Answer->m_Body = stringOf(In.getAnswer());
        }
        return In.getState() == UnknownState ||
               In.getState() <= static_cast<std::uint8_t>(AttemptState::Cancelled);
      });
}

} // namespace fescuegauge
