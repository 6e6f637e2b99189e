#include "Fescuegauge/ByteCodec.h"
#include "Fescuegauge/Membership.h"

namespace fescuegauge {

namespace {

using Kind = MembershipMessage::Kind;

void write(ByteWriter &Out, const MemberUpdate &Update) {
  Out.id(Update.m_Id);
  Out.id(Update.m_Incarnation);
  Out.number(static_cast<std::uint64_t>(Update.m_State) * 2 + (Update.m_Record ? 1 : 0));
  if (!Update.m_Record)
    return;
  const InstanceRecord &Record = *Update.m_Record;
  Out.number(static_cast<std::uint64_t>(Record.m_Role) * 2 +
             (Record.m_ServedDigest.isZero() ? 0 : 1));
  Out.id(Record.m_DataCentre);
  Out.id(Record.m_Region);
  Out.text(Record.m_Endpoint.m_Host);
  Out.number(Record.m_Endpoint.m_Port);
  Out.id(Record.m_Service);
  Out.id(Record.m_Generation);
  Out.number(Record.m_Capacity);
  if (!Record.m_ServedDigest.isZero())
    Out.digest(Record.m_ServedDigest);
}

MemberUpdate readUpdate(ByteReader &In) {
  MemberUpdate Result;
  Result.m_Id = In.id<InstanceId>();
  Result.m_Incarnation = In.id<Incarnation>();
  std::uint64_t StateAndFlag = In.number();
  if (StateAndFlag / 2 > static_cast<std::uint64_t>(InstanceState::Dead) || Result.m_Id.empty()) {
    In.fail();
    return Result;
  }
  Result.m_State = static_cast<InstanceState>(StateAndFlag / 2);
  if (!(StateAndFlag & 1))
    return Result;
  auto Record = std::make_shared<InstanceRecord>();
  Record->m_Id = Result.m_Id;
  Record->m_Incarnation = Result.m_Incarnation;
  Record->m_State = Result.m_State;
  std::uint64_t RoleAndFlag = In.number();
  if (RoleAndFlag / 2 > static_cast<std::uint64_t>(InstanceRole::Agent))
    In.fail();
  Record->m_Role = RoleAndFlag / 2 ? InstanceRole::Agent : InstanceRole::Entry;
  Record->m_DataCentre = In.id<DataCentreId>();
  Record->m_Region = In.id<RegionId>();
  Record->m_Endpoint.m_Host = In.text();
  std::uint64_t Port = In.number();
  if (Port > UINT16_MAX)
    In.fail();
  Record->m_Endpoint.m_Port = static_cast<std::uint16_t>(Port);
  Record->m_Service = In.id<ServiceId>();
  Record->m_Generation = In.id<GenerationId>();
  std::uint64_t Capacity = In.number();
  if (Capacity > UINT32_MAX)
    In.fail();
  Record->m_Capacity = static_cast<std::uint32_t>(Capacity);
  if (RoleAndFlag & 1)
    Record->m_ServedDigest = In.digest();
  Result.m_Record = std::move(Record);
  return Result;
}

} // namespace

std::string MembershipMessage::encode() const {
  ByteWriter Out;
  // One byte flags the optional parts that follow, because most messages have none of them.
  Out.number(static_cast<std::uint64_t>(m_Kind));
  Out.number((m_NeedsRecord ? 1U : 0U) | (m_HasMore ? 2U : 0U) | (m_Updates.empty() ? 0U : 4U) |
             (m_Buckets.empty() ? 0U : 8U) | (m_SilenceReports.empty() ? 0U : 16U) |
             (m_LogEpoch == 0 ? 0U : 32U));
  Out.id(m_Incarnation);
  Out.fixed64(m_ViewHash);
  Out.text(m_Attachment);
  if (m_LogEpoch != 0) {
    Out.number(m_LogEpoch);
    Out.number(m_LogPosition);
  }
  if (!m_Updates.empty()) {
    Out.number(m_Updates.size());
    for (const MemberUpdate &Update : m_Updates)
      write(Out, Update);
  }
  if (!m_Buckets.empty()) {
    Out.number(m_Buckets.size());
    for (std::uint32_t Bucket : m_Buckets)
      Out.number(Bucket);
  }
  if (!m_SilenceReports.empty()) {
    Out.number(m_SilenceReports.size());
    for (const SilenceReport &Report : m_SilenceReports) {
      Out.id(Report.m_Id);
      Out.number(static_cast<std::uint64_t>(Report.m_Silence.count()));
    }
  }
  return Out.take();
}

std::optional<MembershipMessage> MembershipMessage::decode(std::string_view Bytes) {
  if (Bytes.size() > MaxBytes)
    return {};
  ByteReader In(Bytes);
  MembershipMessage Result;
  std::uint64_t KindNumber = In.number();
  if (KindNumber > static_cast<std::uint64_t>(Kind::SyncReply))
    return {};
  Result.m_Kind = static_cast<Kind>(KindNumber);
  std::uint64_t Parts = In.number();
  Result.m_NeedsRecord = Parts & 1;
  Result.m_HasMore = Parts & 2;
  Result.m_Incarnation = In.id<Incarnation>();
  Result.m_ViewHash = In.fixed64();
  Result.m_Attachment = In.text();
  if (Result.m_Attachment.size() > MaxAttachmentBytes)
    return {};
  if (Parts & 32) {
    Result.m_LogEpoch = In.number();
    Result.m_LogPosition = In.number();
  }
  if (Parts & 4) {
    std::size_t Count = In.count(3);
    if (Count > MaxSyncUpdates)
      return {};
    for (std::size_t Index = 0; Index < Count && !In.failed(); ++Index)
      Result.m_Updates.push_back(readUpdate(In));
  }
  if (Parts & 8) {
    std::size_t Count = In.count(1);
    if (Count != SyncBuckets)
      return {};
    for (std::size_t Index = 0; Index < Count; ++Index)
      Result.m_Buckets.push_back(static_cast<std::uint32_t>(In.number()));
  }
  if (Parts & 16) {
    std::size_t Count = In.count(2);
    if (Count > MaxSilenceReports)
      return {};
    for (std::size_t Index = 0; Index < Count; ++Index) {
      SilenceReport Report;
      Report.m_Id = In.id<InstanceId>();
      // A silence of more than one day does not occur and could overflow the duration.
      std::uint64_t Silence = In.number();
      if (Silence > 86'400'000'000)
        In.fail();
      Report.m_Silence = Duration(static_cast<Duration::rep>(Silence));
      Result.m_SilenceReports.push_back(std::move(Report));
    }
  }
  if (In.failed() || !In.atEnd())
    return {};
  return Result;
}

} // namespace fescuegauge
