#include "Fescuegauge/ChangeWriter.h"

#include <algorithm>

namespace fescuegauge {

ChangeWriter::ChangeWriter(ChangeRequest Request, Rules Enabled)
    : m_Request(std::move(Request)), m_Rules(Enabled) {}

ChangeWriter::Actions ChangeWriter::start(const Configuration &InForce, TimePoint Now) {
  m_InForce = InForce;
  m_Deadline = Now + Deadline;
  if (m_Request.m_Edits.size() > Configuration::MaxEdits)
    return finish({ChangeOutcome::Status::Refused,
                   {},
                   ErrorKind::InvalidDeclaration,
                   "a change has at most " + std::to_string(Configuration::MaxEdits) +
                       " edits, this one has " + std::to_string(m_Request.m_Edits.size())});
  for (const DeclarationEdit &Edit : m_Request.m_Edits)
    if (Edit.m_Declaration && declarationName(*Edit.m_Declaration) != Edit.m_Name)
      return finish({ChangeOutcome::Status::Refused,
                     {},
                     ErrorKind::InvalidDeclaration,
                     "the declaration under " + Edit.m_Name.str() + " has the name " +
                         declarationName(*Edit.m_Declaration).str()});
  return readHead(Now);
}

ChangeWriter::Actions ChangeWriter::readHead(TimePoint Now) {
  m_Phase = Phase::ReadingHead;
  m_PendingKey = ConfigurationHeadKey;
  m_NextTimerAt = Now + RetryInterval;
  return pendingActions();
}

ChangeWriter::Actions ChangeWriter::pendingActions() {
  switch (m_Phase) {
  case Phase::ReadingHead:
  case Phase::ReadingChange:
    return {ReadRow{m_PendingKey}};
  case Phase::Writing:
    if (m_UnansweredSends++ > 0)
      m_InDoubt = true;
    return {Write{m_Transaction}};
  case Phase::CatchingUp:
    return {CatchUp{m_Head.m_Number}};
  case Phase::Finished:
    break;
  }
  return {};
}

ChangeWriter::Actions ChangeWriter::onRow(const std::string &Key,
                                          const std::optional<TableRow> &Row, TimePoint Now) {
  if (Key != m_PendingKey || !Row)
    return {};
  if (m_Phase == Phase::ReadingHead) {
    auto Head = ConfigurationHead::decode(Row->m_Value);
    // A number lower than the one in force here comes from a stale read; the retry reads again.
    if (!Head || Head->m_Number < m_InForce.number())
      return {};
    return onHead(*Head, Row->m_Position, Now);
  }
  if (m_Phase == Phase::ReadingChange) {
    auto Found = Change::decode(Row->m_Value);
    if (!Found)
      return {};
    if (m_InDoubt && Found->m_Number == m_Proposed.number() && Found->m_Id == m_Request.m_Id)
      return finishAccepted(Found->m_Number);
    if (m_InDoubt) {
      // Another change has the number of the transaction, which therefore can never commit.
      m_InDoubt = false;
      m_UnansweredSends = 0;
      return onHead(m_Head, m_HeadPosition, Now);
    }
    return finish({ChangeOutcome::Status::Refused, m_Head.m_Number, ErrorKind::StaleBaseVersion,
                   "the base is change " + std::to_string(m_Request.m_Base->value()) +
                       ", since then changed: " + describeChangesSince(*m_Request.m_Base) +
                       "; in force is " + Found->summary()});
  }
  return {};
}

std::string ChangeWriter::describeChangesSince(ChangeNumber Base) const {
  std::string Result;
  std::size_t Count = 0;
  for (const auto &[Name, Entry] : m_InForce.entries()) {
    if (Entry.m_SetBy <= Base)
      continue;
    if (++Count > MaxListedNames)
      return Result + " and others";
    Result += (Result.empty() ? "" : ", ") + Name.str() + " (change " +
              std::to_string(Entry.m_SetBy.value()) + ")";
  }
  return Result.empty() ? "nothing that is still declared" : Result;
}

ChangeWriter::Actions ChangeWriter::onHead(const ConfigurationHead &Head, TablePosition Position,
                                           TimePoint Now) {
  m_Head = Head;
  m_HeadPosition = Position;
  for (const auto &[Id, Number] : Head.m_Recent)
    if (m_Rules.m_DetectRetriedChange && Id == m_Request.m_Id)
      return finishAccepted(Number);
  // The table may lack changes that are in force, until a replica has written the head again.
  if (m_Rules.m_AwaitRewriteAfterRestore && Head.isRestored(Position)) {
    m_Phase = Phase::ReadingHead;
    m_PendingKey = ConfigurationHeadKey;
    m_NextTimerAt = Now + RetryInterval;
    return {};
  }
  if (m_InForce.number() < Head.m_Number) {
    m_Phase = Phase::CatchingUp;
    m_NextTimerAt = Now + RetryInterval;
    return pendingActions();
  }
  if (m_InForce.number() != Head.m_Number)
    return readHead(Now);
  auto Edits = m_InForce.effectiveEdits(m_Request.m_Edits);
  if (Edits.empty())
    return finish({ChangeOutcome::Status::Unchanged, m_InForce.number(), ErrorKind::Internal, {}});
  if (m_Rules.m_RefuseStaleBase && m_Request.m_Base && *m_Request.m_Base != Head.m_Number)
    return readConflictingChange(Head, Now);
  m_Request.m_Edits = std::move(Edits);
  return write(Head, Position, Now);
}

ChangeWriter::Actions ChangeWriter::readConflictingChange(const ConfigurationHead &Head,
                                                          TimePoint Now) {
  m_Phase = Phase::ReadingChange;
  m_PendingKey = changeKey(Head.m_Number);
  m_NextTimerAt = Now + RetryInterval;
  return pendingActions();
}

ChangeWriter::Actions ChangeWriter::write(const ConfigurationHead &Head, TablePosition Position,
                                          TimePoint Now) {
  m_Proposed = m_InForce.withEdits(m_Request.m_Edits);
  if (m_Proposed.entries().size() > Configuration::MaxEntries)
    return finish({ChangeOutcome::Status::Refused, m_InForce.number(),
                   ErrorKind::InvalidDeclaration,
                   "the configuration would have " + std::to_string(m_Proposed.entries().size()) +
                       " names, the limit is " + std::to_string(Configuration::MaxEntries)});
  ChangeNumber Number = m_Proposed.number();
  Change Record{Number, m_Request.m_Id, m_Request.m_Author, m_Request.m_Edits, m_Proposed.digest()};
  ConfigurationHead Next{Number, m_Request.m_Id, Position.m_Epoch, Head.m_Snapshot, Head.m_Recent};
  Next.m_Recent.insert(Next.m_Recent.begin(), {m_Request.m_Id, Number});
  if (Next.m_Recent.size() > ConfigurationHead::MaxRecentIds)
    Next.m_Recent.resize(ConfigurationHead::MaxRecentIds);
  m_Transaction = Transaction();
  // The attempt is part of the write id, because the table stores a conflict as the outcome of a
  // write id.
  m_Transaction.m_WriteId =
      WriteId("change/" + m_Request.m_Id.str() + "/" + std::to_string(Number.value()) + "/" +
              std::to_string(m_Rebases));
  if (m_Rules.m_HeadCondition)
    m_Transaction.m_Conditions.push_back({ConfigurationHeadKey, Position});
  if (Number.value() % Configuration::SnapshotInterval == 0) {
    Next.m_Snapshot = Number;
    m_Transaction.m_Puts.push_back({snapshotKey(Number), m_Proposed.encodeSnapshot()});
    // The previous snapshot is kept for processes that are still reading it.
    if (Number.value() > 2 * Configuration::SnapshotInterval)
      m_Transaction.m_Deletes.push_back(
          snapshotKey(ChangeNumber(Number.value() - 2 * Configuration::SnapshotInterval)));
  }
  m_Transaction.m_Puts.push_back({changeKey(Number), Record.encode()});
  m_Transaction.m_Puts.push_back({ConfigurationHeadKey, Next.encode()});
  if (Number.value() > MaxHistoryRows)
    m_Transaction.m_Deletes.push_back(changeKey(ChangeNumber(Number.value() - MaxHistoryRows)));
  m_Phase = Phase::Writing;
  m_PendingKey.clear();
  m_NextTimerAt = Now + RetryInterval;
  return pendingActions();
}

ChangeWriter::Actions ChangeWriter::onCommit(const WriteId &Id, const CommitResult &Result,
                                             TimePoint Now) {
  if (m_Phase != Phase::Writing || Id != m_Transaction.m_WriteId)
    return {};
  switch (Result.m_Status) {
  case CommitStatus::Committed:
    return finishAccepted(m_Proposed.number());
  case CommitStatus::Unknown:
    m_InDoubt = true;
    return {};
  case CommitStatus::Unreachable:
    --m_UnansweredSends;
    return {};
  case CommitStatus::Conflict:
    break;
  }
  for (const TableRow &Row : Result.m_Conflicts)
    if (Row.m_Key == ConfigurationHeadKey)
      if (auto Head = ConfigurationHead::decode(Row.m_Value))
        return onHeadConflict(*Head, Row.m_Position, Now);
  return {};
}

ChangeWriter::Actions ChangeWriter::onHeadConflict(const ConfigurationHead &Head,
                                                   TablePosition Position, TimePoint Now) {
  if (++m_Rebases > MaxRebases)
    return finish({ChangeOutcome::Status::Refused, Head.m_Number, ErrorKind::StaleBaseVersion,
                   "other changes were accepted first " + std::to_string(MaxRebases) + " times"});
  bool IsCoveredByRecentIds =
      Head.m_Number.value() < m_Proposed.number().value() + ConfigurationHead::MaxRecentIds;
  if (m_InDoubt && !IsCoveredByRecentIds && m_Rules.m_DetectRetriedChange) {
    m_Head = Head;
    m_HeadPosition = Position;
    m_Phase = Phase::ReadingChange;
    m_PendingKey = changeKey(m_Proposed.number());
    m_NextTimerAt = Now + RetryInterval;
    return pendingActions();
  }
  // The row in a conflict is never stale: a head without the change id means that the transaction
  // did not commit, and its condition can never hold again.
  m_InDoubt = false;
  m_UnansweredSends = 0;
  return onHead(Head, Position, Now);
}

ChangeWriter::Actions ChangeWriter::onConfiguration(const Configuration &InForce, TimePoint Now) {
  if (m_Phase != Phase::CatchingUp) {
    // A transaction in progress was computed from the previous configuration and is conditional
    // on its head.
    if (m_Phase == Phase::ReadingHead && InForce.number() > m_InForce.number())
      m_InForce = InForce;
    return {};
  }
  m_InForce = InForce;
  if (InForce.number() < m_Head.m_Number)
    return {};
  if (InForce.number() == m_Head.m_Number)
    return onHead(m_Head, m_HeadPosition, Now);
  return readHead(Now);
}

ChangeWriter::Actions ChangeWriter::onTimer(TimePoint Now) {
  if (m_Phase == Phase::Finished || Now < m_NextTimerAt)
    return {};
  if (Now >= m_Deadline) {
    // A transaction without a response may still commit.
    if (m_InDoubt || m_UnansweredSends > 0)
      return finish({ChangeOutcome::Status::Unknown,
                     {},
                     ErrorKind::OutcomeUnknown,
                     "the table did not answer; apply the change again to learn the outcome"});
    return finish({ChangeOutcome::Status::Refused,
                   {},
                   ErrorKind::TableUnreachable,
                   "the table did not answer within 10 s; nothing was changed"});
  }
  m_NextTimerAt = std::min(m_Deadline, Now + RetryInterval);
  return pendingActions();
}

ChangeWriter::Actions ChangeWriter::finishAccepted(ChangeNumber Number) {
  std::optional<Configuration> Result;
  if (m_Proposed.number() == Number)
    Result = m_Proposed;
  return finish({ChangeOutcome::Status::Accepted, Number, ErrorKind::Internal, {}},
                std::move(Result));
}

ChangeWriter::Actions ChangeWriter::finish(ChangeOutcome Outcome,
                                           std::optional<Configuration> Accepted) {
  m_Phase = Phase::Finished;
  m_NextTimerAt = TimePoint::max();
  return {Finish{std::move(Outcome), std::move(Accepted)}};
}

} // namespace fescuegauge
