#include "Fescuegauge/Handover.h"
#include "Fescuegauge/Invariant.h"
#include "Json.h"

namespace fescuegauge {

namespace {

namespace json = boost::json;

Invariant CompletesOnlyWhenPaused("generations.owner_changes_only_from_paused");

/// Sorts after every idempotency key, which consists of letters, digits and '-'.
constexpr std::string_view EndMarker = "~~";
/// Sorts directly after the key that it is appended to.
constexpr std::string_view MarkerSuffix = "!";

std::string markerValue(const std::string &Token) {
  return json::serialize(json::object{{"state", "marker"}, {"handover", Token}});
}

} // namespace

std::string OwnerRow::encode() const {
  json::object Result{{"state", m_State == State::Owned ? "owned" : "paused"},
                      {"generation", m_Generation.str()}};
  if (m_State == State::Paused)
    Result["next"] = m_Next.str();
  return json::serialize(Result);
}

std::optional<OwnerRow> OwnerRow::decode(std::string_view Text) {
  auto Value = parseJson(Text);
  if (!Value || !Value->is_object())
    return {};
  const json::object &Object = Value->get_object();
  std::string StateName = jsonText(Object, "state");
  OwnerRow Result;
  Result.m_Generation = GenerationId(jsonText(Object, "generation"));
  Result.m_Next = GenerationId(jsonText(Object, "next"));
  if (Result.m_Generation.empty() || (StateName != "owned" && StateName != "paused"))
    return {};
  Result.m_State = StateName == "owned" ? State::Owned : State::Paused;
  return Result;
}

Transaction createOwnerTransaction(const ServiceId &Service, const ClientAccountId &Account,
                                   const GenerationId &Generation, const WriteId &Id) {
  Transaction Result;
  Result.m_WriteId = Id;
  std::string Key = ownerRowKey(Service, Account);
  Result.m_Conditions.push_back({Key, TablePosition()});
  Result.m_Puts.push_back({Key, OwnerRow{OwnerRow::State::Owned, Generation, {}}.encode()});
  return Result;
}

std::optional<GenerationId> generationForClaim(const OwnerRow &Owner) {
  if (Owner.m_State != OwnerRow::State::Owned)
    return {};
  return Owner.m_Generation;
}

Handover::Handover(ServiceId Service, ClientAccountId Account, GenerationId From, GenerationId To,
                   std::string Attempt, Rules Enabled)
    : m_Service(std::move(Service)), m_Account(std::move(Account)), m_From(std::move(From)),
      m_To(std::move(To)), m_Attempt(std::move(Attempt)), m_Rules(Enabled) {}

std::string Handover::claimPrefix() const { return claimRowPrefix(m_Account); }

Handover::Actions Handover::start(TimePoint Now) { return readOwner(Now); }

Handover::Actions Handover::readOwner(TimePoint Now) {
  m_Phase = Phase::ReadingOwner;
  m_NextTimerAt = Now + RetryInterval;
  return pendingActions();
}

Handover::Actions Handover::pendingActions() const {
  switch (m_Phase) {
  case Phase::ReadingOwner:
    return {ReadRow{ownerRowKey(m_Service, m_Account)}};
  case Phase::FindingPages:
    return {Scan{claimPrefix(), m_After, PageRows}};
  case Phase::Draining:
    return {Scan{claimPrefix(), m_After, 2 * PageRows}};
  case Phase::Pausing:
  case Phase::WritingMarkers:
  case Phase::Completing:
  case Phase::RollingBack:
    return {Write{m_Transaction}};
  case Phase::Finished:
    break;
  }
  return {};
}

Handover::Actions Handover::write(Phase Next, std::optional<OwnerRow> Put, TimePoint Now) {
  std::string Key = ownerRowKey(m_Service, m_Account);
  m_Phase = Next;
  m_NextTimerAt = Now + RetryInterval;
  m_Transaction = Transaction();
  m_Transaction.m_WriteId = WriteId("handover/" + m_Service.str() + "/" + m_Account.str() + "/" +
                                    m_Attempt + "/" + std::to_string(++m_WriteCount));
  if (m_Rules.m_OwnerCondition)
    m_Transaction.m_Conditions.push_back({Key, m_OwnerPosition});
  if (Put)
    m_Transaction.m_Puts.push_back({Key, Put->encode()});
  if (Next == Phase::WritingMarkers)
    for (const std::string &Marker : m_Markers)
      m_Transaction.m_Puts.push_back({Marker, m_MarkerValue});
  if (Next == Phase::Completing || Next == Phase::RollingBack)
    m_Transaction.m_Deletes = m_Markers;
  return pendingActions();
}

Handover::Actions Handover::onRow(const std::string &Key, const std::optional<TableRow> &Row,
                                  TimePoint Now) {
  if (m_Phase != Phase::ReadingOwner || !Row || Key != ownerRowKey(m_Service, m_Account))
    return {};
  if (Row->isAbsent()) {
    // The owner row is created by the first claim or here, whichever is first.
    m_OwnerPosition = Row->m_Position;
    return write(Phase::Pausing, OwnerRow{OwnerRow::State::Paused, m_From, m_To}, Now);
  }
  auto Owner = OwnerRow::decode(Row->m_Value);
  return Owner ? onOwner(*Owner, Row->m_Position, Now) : Actions();
}

Handover::Actions Handover::onOwner(const OwnerRow &Owner, TablePosition Position, TimePoint Now) {
  m_OwnerPosition = Position;
  if (Owner == OwnerRow{OwnerRow::State::Owned, m_To, {}})
    return finish(Result::Done);
  if (Owner == OwnerRow{OwnerRow::State::Paused, m_From, m_To}) {
    if (!m_IsOwnerPaused) {
      m_IsOwnerPaused = true;
      m_DrainDeadline = Now + DrainTimeout;
    }
    return m_Rules.m_AwaitOpenClaims ? findPages(Now) : complete(Now);
  }
  if (Owner != OwnerRow{OwnerRow::State::Owned, m_From, {}})
    return finish(Result::Refused);
  if (m_IsOwnerPaused)
    return finish(Result::NotDrained);
  if (!m_Rules.m_PauseFirst)
    return complete(Now);
  return write(Phase::Pausing, OwnerRow{OwnerRow::State::Paused, m_From, m_To}, Now);
}

Handover::Actions Handover::findPages(TimePoint Now) {
  m_Phase = Phase::FindingPages;
  m_Markers.clear();
  m_After.clear();
  m_NextTimerAt = Now + RetryInterval;
  return pendingActions();
}

Handover::Actions Handover::onScan(const std::string &After,
                                   const std::optional<std::vector<TableRow>> &Rows,
                                   TimePoint Now) {
  if (!Rows || After != m_After)
    return {};
  if (m_Phase == Phase::FindingPages) {
    if (Rows->size() < PageRows) {
      m_Markers.push_back(claimPrefix() + std::string(EndMarker));
      m_MarkerValue = markerValue(m_Attempt + "/" + std::to_string(m_WriteCount));
      return write(Phase::WritingMarkers, std::nullopt, Now);
    }
    if (m_Markers.size() + 1 >= MaxPages)
      return finish(Result::TooManyClaims);
    m_Markers.push_back(Rows->back().m_Key + std::string(MarkerSuffix));
    m_After = Rows->back().m_Key;
    m_NextTimerAt = Now + RetryInterval;
    return pendingActions();
  }
  if (m_Phase != Phase::Draining)
    return {};
  bool HasMarker = false;
  bool HasOpenClaim = false;
  for (const TableRow &Row : *Rows) {
    if (Row.m_Key > m_Markers[m_CurrentPage])
      break;
    if (Row.m_Key == m_Markers[m_CurrentPage]) {
      HasMarker = Row.m_Value == m_MarkerValue;
      break;
    }
    auto Claim = parseJson(Row.m_Value);
    if (!Claim || !Claim->is_object())
      continue;
    const json::object &Object = Claim->get_object();
    HasOpenClaim |= jsonText(Object, "service") == m_Service.str() &&
                    jsonText(Object, "generation") == m_From.str() &&
                    jsonText(Object, "state") == "claimed";
  }
  if (m_Rules.m_RequireMarkers && !HasMarker && Rows->size() >= 2 * PageRows)
    return findPages(Now);
  if (HasOpenClaim || (m_Rules.m_RequireMarkers && !HasMarker)) {
    m_NextTimerAt = Now + DrainPollInterval;
    return {};
  }
  m_After = m_Markers[m_CurrentPage];
  if (++m_CurrentPage < m_Markers.size()) {
    m_NextTimerAt = Now + RetryInterval;
    return pendingActions();
  }
  return complete(Now);
}

Handover::Actions Handover::complete(TimePoint Now) {
  if (m_Rules.m_PauseFirst &&
      !CompletesOnlyWhenPaused.check(m_IsOwnerPaused, ownerRowKey(m_Service, m_Account)))
    return finish(Result::Refused);
  return write(Phase::Completing, OwnerRow{OwnerRow::State::Owned, m_To, {}}, Now);
}

Handover::Actions Handover::onCommit(const WriteId &Id, const CommitResult &Commit, TimePoint Now) {
  if (Id != m_Transaction.m_WriteId || m_Phase == Phase::Finished)
    return {};
  if (Commit.m_Status == CommitStatus::Conflict) {
    for (const TableRow &Row : Commit.m_Conflicts)
      if (Row.m_Key == ownerRowKey(m_Service, m_Account))
        if (auto Owner = OwnerRow::decode(Row.m_Value))
          return onOwner(*Owner, Row.m_Position, Now);
    return readOwner(Now);
  }
  if (Commit.m_Status != CommitStatus::Committed)
    return {};
  switch (m_Phase) {
  case Phase::Pausing:
    return readOwner(Now);
  case Phase::WritingMarkers:
    m_Phase = Phase::Draining;
    m_CurrentPage = 0;
    m_After.clear();
    m_NextTimerAt = Now + RetryInterval;
    return pendingActions();
  case Phase::Completing:
    return finish(Result::Done);
  case Phase::RollingBack:
    return finish(Result::NotDrained);
  default:
    return {};
  }
}

Handover::Actions Handover::onTimer(TimePoint Now) {
  if (m_Phase == Phase::Finished || Now < m_NextTimerAt)
    return {};
  // An unanswered completion may have committed, so that only its retries determine the outcome.
  bool CanRollBack = m_Phase == Phase::FindingPages || m_Phase == Phase::Draining;
  if (m_IsOwnerPaused && CanRollBack && Now >= m_DrainDeadline)
    return write(Phase::RollingBack, OwnerRow{OwnerRow::State::Owned, m_From, {}}, Now);
  m_NextTimerAt = Now + (m_Phase == Phase::Draining ? DrainPollInterval : RetryInterval);
  return pendingActions();
}

Handover::Actions Handover::finish(Result Outcome) {
  m_Phase = Phase::Finished;
  m_NextTimerAt = TimePoint::max();
  return {Finish{Outcome}};
}

} // namespace fescuegauge
