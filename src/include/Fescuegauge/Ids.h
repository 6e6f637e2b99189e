#ifndef FESCUEGAUGE_IDS_H
#define FESCUEGAUGE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace fescuegauge {

/// A strongly typed identifier. Identifiers with different tags neither compare nor convert.
template <typename Tag> class StrongId {
public:
  StrongId() = default;
  explicit StrongId(std::string Value) : m_Value(std::move(Value)) {}

  const std::string &str() const { return m_Value; }
  bool empty() const { return m_Value.empty(); }
  auto operator<=>(const StrongId &) const = default;

private:
  std::string m_Value;
};

/// A strongly typed ordinal, such as a change number.
template <typename Tag> class StrongNumber {
public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::uint64_t Value) : m_Value(Value) {}

  constexpr std::uint64_t value() const { return m_Value; }
  constexpr StrongNumber next() const { return StrongNumber(m_Value + 1); }
  constexpr auto operator<=>(const StrongNumber &) const = default;

private:
  std::uint64_t m_Value = 0;
};

/// A process of the system or an upstream; unique for the lifetime of a deployment.
using InstanceId = StrongId<struct InstanceIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
using ClientAccountId = StrongId<struct ClientAccountIdTag>;
/// A service that callers name, for example "pedidos".
using ServiceId = StrongId<struct ServiceIdTag>;
/// A class of work to which a target applies, for example "quotation".
using WorkClassId = StrongId<struct WorkClassIdTag>;
using ModelVersionId = StrongId<struct ModelVersionIdTag>;
using ConversationId = StrongId<struct ConversationIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
/// One dispatch of a request to one upstream.
using AttemptId = StrongId<struct AttemptIdTag>;
using ClaimId = StrongId<struct ClaimIdTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
using RolloutId = StrongId<struct RolloutIdTag>;
/// The generation of a serving system: "old" or its replacement, "new".
using GenerationId = StrongId<struct GenerationIdTag>;
/// Chosen by the writer to the platform's table; identifies the write if its answer is lost.
using WriteId = StrongId<struct WriteIdTag>;
using ChangeId = StrongId<struct ChangeIdTag>;

/// Position of an accepted configuration change in the total order of changes; 0 means none.
using ChangeNumber = StrongNumber<struct ChangeNumberTag>;
/// Increases with every restart of an instance under the same id.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// Increases with every command to an engine; engines that check it refuse an older one.
using FencingToken = StrongNumber<struct FencingTokenTag>;
/// Version of a row in the platform's table; 0 means that the row is absent.
using RowVersion = StrongNumber<struct RowVersionTag>;

} // namespace fescuegauge

template <typename Tag> struct std::hash<fescuegauge::StrongId<Tag>> {
  std::size_t operator()(const fescuegauge::StrongId<Tag> &Id) const noexcept {
    return std::hash<std::string>{}(Id.str());
  }
};

template <typename Tag> struct std::hash<fescuegauge::StrongNumber<Tag>> {
  std::size_t operator()(const fescuegauge::StrongNumber<Tag> &Number) const noexcept {
    return std::hash<std::uint64_t>{}(Number.value());
  }
};

#endif // FESCUEGAUGE_IDS_H
