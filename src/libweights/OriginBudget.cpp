#include "Fescuegauge/OriginBudget.h"

#include "Fescuegauge/Invariant.h"

#include <algorithm>
#include <charconv>

namespace fescuegauge {

namespace {

Invariant GrantWithinBudget("weights.grant_within_budget");

/// Parser for the exact text written by GrantRow::encode().
class RowReader {
public:
  explicit RowReader(std::string_view Text) : m_Text(Text) {}

  bool literal(std::string_view Expected) {
    if (!m_Text.starts_with(Expected))
      return false;
    m_Text.remove_prefix(Expected.size());
    return true;
  }
  bool number(Bytes &Value) {
    std::uint64_t Count = 0;
    auto [End, Code] = std::from_chars(m_Text.data(), m_Text.data() + m_Text.size(), Count);
    if (Code != std::errc())
      return false;
    m_Text.remove_prefix(static_cast<std::size_t>(End - m_Text.data()));
    Value = Bytes(Count);
    return true;
  }
  bool text(std::string &Value) {
    std::size_t End = m_Text.find('"');
    if (End == std::string_view::npos)
      return false;
    Value = m_Text.substr(0, End);
    m_Text.remove_prefix(End);
    return true;
  }
  bool atEnd() const { return m_Text.empty(); }

private:
  std::string_view m_Text;
};

} // namespace

std::string GrantRow::encode() const {
  std::string Text = "{\"budget\":" + std::to_string(m_Budget.count()) +
                     ",\"granted\":" + std::to_string(m_Granted.count()) + ",\"grants\":[";
  for (const auto &[Id, Size] : m_Grants) {
    if (Text.back() != '[')
      Text += ',';
    Text += "[\"" + Id.str() + "\"," + std::to_string(Size.count()) + ']';
  }
  return Text + "]}";
}

std::optional<GrantRow> GrantRow::parse(std::string_view Text) {
  GrantRow Row;
  RowReader Reader(Text);
  if (!Reader.literal("{\"budget\":") || !Reader.number(Row.m_Budget) ||
      !Reader.literal(",\"granted\":") || !Reader.number(Row.m_Granted) ||
      !Reader.literal(",\"grants\":["))
    return std::nullopt;
  while (!Reader.literal("]}")) {
    std::string Id;
    Bytes Size;
    if (!Row.m_Grants.empty() && !Reader.literal(","))
      return std::nullopt;
    if (!Reader.literal("[\"") || !Reader.text(Id) || !Reader.literal("\",") ||
        !Reader.number(Size) || !Reader.literal("]") || Row.m_Grants.size() == MaxGrants)
      return std::nullopt;
    Row.m_Grants.emplace_back(WriteId(Id), Size);
  }
  if (!Reader.atEnd())
    return std::nullopt;
  return Row;
}

OriginBudget::OriginBudget(const RolloutId &Rollout, Bytes VersionSize, std::string Owner,
                           Rules Enabled)
    : m_Key(grantRowKey(Rollout)), m_Budget(VersionSize.count() * CopiesLimit),
      m_Owner(std::move(Owner)), m_Rules(Enabled) {}

void OriginBudget::request(Bytes Wanted, Bytes MinUsable, TimePoint Now) {
  if (isPending())
    return;
  m_Wanted = std::max(Wanted, MinUsable);
  m_MinUsable = MinUsable;
  m_State = State::Read;
  m_InProgress = false;
  m_Exhausted = false;
  m_NotBefore = std::max(m_NotBefore, Now);
}

std::optional<TableAction> OriginBudget::poll(TimePoint Now) {
  if (m_State == State::Idle || m_InProgress || Now < m_NotBefore)
    return std::nullopt;
  m_InProgress = true;
  switch (m_State) {
  case State::Idle:
    break;
  case State::Read:
  case State::ResolveRead:
    return ReadRow{m_Key};
  case State::Write:
    m_SentTransaction = makeTransaction();
    return m_SentTransaction;
  case State::ResolveWrite:
    return m_SentTransaction;
  }
  return std::nullopt;
}

Transaction OriginBudget::makeTransaction() {
  Transaction Result;
  // The id contains the row key, because the table answers a repeated id with its first outcome
  // even if the rest of the transaction differs.
  Result.m_WriteId = WriteId(m_Key + '/' + m_Owner + '-' + std::to_string(++m_Sequence));
  if (m_Rules.m_ConditionalWrite)
    Result.m_Conditions.push_back({m_Key, m_Position});
  GrantRow Row = m_Row;
  Row.m_Granted += m_Increment;
  Row.m_Grants.emplace_back(Result.m_WriteId, m_Increment);
  if (Row.m_Grants.size() > GrantRow::MaxGrants)
    Row.m_Grants.pop_front();
  Result.m_Puts.push_back({m_Key, Row.encode()});
  return Result;
}

bool OriginBudget::isScarce() const {
  return m_Row.m_Granted.count() > m_Budget.count() / ScarceDivisor;
}

Bytes OriginBudget::finish(Bytes Granted) {
  m_State = State::Idle;
  m_ResolveAttempts = 0;
  return Granted;
}

void OriginBudget::resolve(TimePoint Now) {
  // The write may have taken effect, so the increment counts as spent unless one of these attempts
  // confirms that it was granted.
  if (++m_ResolveAttempts > MaxResolveAttempts) {
    finish(Bytes());
    return;
  }
  m_State = m_ResolveAttempts % 2 == 1 ? State::ResolveRead : State::ResolveWrite;
  m_NotBefore = Now + RetryInterval;
}

Bytes OriginBudget::onCommit(const CommitResult &Result, TimePoint Now) {
  if (!m_InProgress || (m_State != State::Write && m_State != State::ResolveWrite))
    return Bytes();
  m_InProgress = false;
  switch (Result.m_Status) {
  case CommitStatus::Committed:
    return finish(m_Increment);
  case CommitStatus::Conflict:
    // The write did not take effect and its id can have no other outcome, so a new write is safe.
    m_ResolveAttempts = 0;
    m_State = State::Read;
    for (const TableRow &Row : Result.m_Conflicts)
      if (Row.m_Key == m_Key) {
        m_InProgress = true;
        return onRead(Row, Now);
      }
    return Bytes();
  case CommitStatus::Unreachable:
    m_NotBefore = Now + RetryInterval;
    if (m_State == State::ResolveWrite)
      resolve(Now);
    else
      m_State = State::Read;
    return Bytes();
  case CommitStatus::Unknown:
    if (!m_Rules.m_ResolveLostResponse)
      return finish(m_Increment);
    resolve(Now);
    return Bytes();
  }
  return Bytes();
}

Bytes OriginBudget::onRead(const std::optional<TableRow> &Row, TimePoint Now) {
  if (!m_InProgress || (m_State != State::Read && m_State != State::ResolveRead))
    return Bytes();
  m_InProgress = false;
  std::optional<GrantRow> Parsed;
  if (Row && !Row->isAbsent())
    Parsed = GrantRow::parse(Row->m_Value);
  if (m_State == State::ResolveRead) {
    if (Parsed)
      for (const auto &[Id, Size] : Parsed->m_Grants)
        if (Id == m_SentTransaction.m_WriteId)
          return finish(Size);
    // The read may be stale, so a missing grant does not prove that the write had no effect.
    resolve(Now);
    return Bytes();
  }
  if (!Row) {
    m_NotBefore = Now + RetryInterval;
    return Bytes();
  }
  if (!Parsed && !Row->isAbsent()) {
    m_Exhausted = true;
    return finish(Bytes());
  }
  m_Row = Parsed ? *Parsed : GrantRow{m_Budget, Bytes(), {}};
  m_Position = Row->m_Position;
  Bytes Left = m_Row.m_Granted < m_Row.m_Budget ? m_Row.m_Budget - m_Row.m_Granted : Bytes();
  Bytes Share = isScarce() ? m_MinUsable : Bytes(Left.count() / IncrementDivisor);
  // A multiple of the minimum, because a smaller remainder could not be used.
  std::uint64_t Unit = std::max<std::uint64_t>(m_MinUsable.count(), 1);
  m_Increment = std::min(m_Wanted, std::max(m_MinUsable, Bytes(Share.count() / Unit * Unit)));
  if (m_Rules.m_CheckBudget) {
    if (Left < m_MinUsable) {
      m_Exhausted = true;
      return finish(Bytes());
    }
    if (!GrantWithinBudget.check(m_Row.m_Granted + m_Increment <= m_Row.m_Budget, m_Key))
      return finish(Bytes());
  }
  m_State = State::Write;
  return Bytes();
}

} // namespace fescuegauge
