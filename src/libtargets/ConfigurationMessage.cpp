#include "Fescuegauge/ByteCodec.h"
#include "Fescuegauge/ConfigurationReplica.h"

namespace fescuegauge {

namespace {

void write(ByteWriter &Out, const ReplicaStatus &Status) {
  Out.number(Status.m_Ready ? 1 : 0);
  Out.id(Status.m_Number);
  Out.fixed64(Status.m_DigestPrefix);
}

ReplicaStatus readStatus(ByteReader &In) {
  ReplicaStatus Result;
  Result.m_Ready = In.number() != 0;
  Result.m_Number = In.id<ChangeNumber>();
  Result.m_DigestPrefix = In.fixed64();
  return Result;
}

} // namespace

std::string ReplicaStatus::encode() const {
  ByteWriter Out;
  write(Out, *this);
  return Out.take();
}

std::optional<ReplicaStatus> ReplicaStatus::decode(std::string_view Bytes) {
  ByteReader In(Bytes);
  ReplicaStatus Result = readStatus(In);
  if (In.failed() || !In.atEnd())
    return {};
  return Result;
}

std::string ConfigurationMessage::encode() const {
  ByteWriter Out;
  Out.number(static_cast<std::uint64_t>(m_Kind));
  write(Out, m_SenderStatus);
  if (m_Kind == Kind::Request || m_Kind == Kind::Delta) {
    Out.id(m_Since);
    Out.id(m_AfterName);
  }
  if (m_Kind == Kind::Delta) {
    Out.number((m_FullCopy ? 1 : 0) + (m_More ? 2 : 0));
    Out.digest(m_Digest);
    Out.number(m_Entries.size());
    for (const WireEntry &Entry : m_Entries) {
      Out.id(Entry.m_Name);
      Out.id(Entry.m_SetBy);
      Out.text(Entry.m_Text);
    }
  }
  if (m_Kind == Kind::LagReply) {
    Out.number(m_LaggingCount);
    Out.number(m_Lagging.size());
    for (const InstanceId &Id : m_Lagging)
      Out.id(Id);
  }
  return Out.take();
}

std::optional<ConfigurationMessage> ConfigurationMessage::decode(std::string_view Bytes) {
  if (Bytes.size() > MaxBytes)
    return {};
  ByteReader In(Bytes);
  ConfigurationMessage Result;
  std::uint64_t KindNumber = In.number();
  if (KindNumber > static_cast<std::uint64_t>(Kind::LagReply))
    return {};
  Result.m_Kind = static_cast<Kind>(KindNumber);
  Result.m_SenderStatus = readStatus(In);
  if (Result.m_Kind == Kind::Request || Result.m_Kind == Kind::Delta) {
    Result.m_Since = In.id<ChangeNumber>();
    Result.m_AfterName = In.id<DeclarationName>();
  }
  if (Result.m_Kind == Kind::Delta) {
    std::uint64_t Flags = In.number();
    Result.m_FullCopy = Flags & 1;
    Result.m_More = Flags & 2;
    Result.m_Digest = In.digest();
    std::size_t Count = In.count(3);
    for (std::size_t Index = 0; Index < Count && !In.failed(); ++Index) {
      WireEntry Entry;
      Entry.m_Name = In.id<DeclarationName>();
      Entry.m_SetBy = In.id<ChangeNumber>();
      Entry.m_Text = In.text();
      Result.m_Entries.push_back(std::move(Entry));
    }
  }
  if (Result.m_Kind == Kind::LagReply) {
    Result.m_LaggingCount = static_cast<std::uint32_t>(In.number());
    std::size_t Count = In.count(1);
    if (Count > MaxLaggingNames)
      return {};
    for (std::size_t Index = 0; Index < Count && !In.failed(); ++Index)
      Result.m_Lagging.push_back(In.id<InstanceId>());
  }
  if (In.failed() || !In.atEnd())
    return {};
  return Result;
}

} // namespace fescuegauge
