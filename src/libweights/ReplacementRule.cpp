#include "Fescuegauge/ReplacementRule.h"

#include "Fescuegauge/Rendezvous.h"

#include <algorithm>

namespace fescuegauge {

namespace {

std::uint64_t capacityOf(const InstanceRecord &Record) {
  return std::max<std::uint32_t>(Record.m_Capacity, 1);
}

} // namespace

ReplacementRule::Verdict ReplacementRule::mayReplace(const InstanceRecord &Self,
                                                     const Digest &WantedRoot,
                                                     std::span<const InstanceRecord> View,
                                                     std::span<const ClassNeed> Needs) const {
  if (Self.m_ServedDigest.isZero())
    return Verdict::Allowed;
  const std::string Key = WantedRoot.hex();
  const std::uint64_t OwnWeight = rendezvousWeight(Key, Self.m_Id.str());
  std::uint64_t Serving = capacityOf(Self);
  std::uint64_t Before = 0;
  std::uint64_t Smallest = capacityOf(Self);
  for (const InstanceRecord &Record : View) {
    if (Record.m_Id == Self.m_Id || Record.m_Role != InstanceRole::Agent ||
        Record.m_Service != Self.m_Service || Record.m_Generation != Self.m_Generation ||
        Record.m_DataCentre != Self.m_DataCentre)
      continue;
    bool Serves = Record.m_State == InstanceState::Live && !Record.m_ServedDigest.isZero();
    if (!Serves && m_Rules.m_ExcludeUnavailable)
      continue;
    Serving += capacityOf(Record);
    Smallest = std::min(Smallest, capacityOf(Record));
    if (Record.m_ServedDigest == WantedRoot || !m_Rules.m_RankWaiting)
      continue;
    std::uint64_t Weight = rendezvousWeight(Key, Record.m_Id.str());
    if (Weight > OwnWeight || (Weight == OwnWeight && Record.m_Id < Self.m_Id))
      Before += capacityOf(Record);
  }
  Verdict Result = Verdict::Allowed;
  for (const ClassNeed &Need : Needs) {
    if (Serving < Need.m_MinCapacity + Smallest)
      return Verdict::NeedsSurge;
    if (Serving < Before + capacityOf(Self) + Need.m_MinCapacity)
      Result = Verdict::Waiting;
  }
  return Result;
}

std::string_view verdictName(ReplacementRule::Verdict Value) {
  switch (Value) {
  case ReplacementRule::Verdict::Allowed:
    return "allowed";
  case ReplacementRule::Verdict::Waiting:
    return "waiting";
  case ReplacementRule::Verdict::NeedsSurge:
    return "needs-surge";
  }
  return "waiting";
}

} // namespace fescuegauge
