#include "Fescuegauge/GenerationRules.h"
#include "Fescuegauge/Invariant.h"
#include "Json.h"

#include <algorithm>

namespace fescuegauge {

namespace {

namespace json = boost::json;

Invariant MovesWithinBound("generations.moves_per_hour_within_bound");

} // namespace

std::string GenerationTicket::encode() const {
  return m_Generation.str() + "." + (m_AcknowledgedWrite ? "w" : "r") + "." +
         (m_ServedDigest.isZero() ? std::string("-") : m_ServedDigest.hex());
}

std::optional<GenerationTicket> GenerationTicket::decode(std::string_view Text) {
  // The generation is the first component and may itself contain dots.
  std::size_t Last = Text.rfind('.');
  if (Last == std::string_view::npos || Last < 3 || Text.size() > 256)
    return {};
  std::string_view DigestText = Text.substr(Last + 1);
  std::string_view Prefix = Text.substr(0, Last);
  if (Prefix[Prefix.size() - 2] != '.' || (Prefix.back() != 'w' && Prefix.back() != 'r'))
    return {};
  GenerationTicket Result;
  Result.m_Generation = GenerationId(std::string(Prefix.substr(0, Prefix.size() - 2)));
  Result.m_AcknowledgedWrite = Prefix.back() == 'w';
  if (DigestText != "-") {
    auto Parsed = Digest::fromHex(DigestText);
    if (!Parsed)
      return {};
    Result.m_ServedDigest = *Parsed;
  }
  if (Result.m_Generation.empty())
    return {};
  return Result;
}

GenerationChoice chooseGeneration(const RequestDescription &Request,
                                  const std::optional<GenerationTicket> &Ticket,
                                  const std::optional<OwnerRow> &Owner,
                                  const ServiceDeclaration *Service, const MoveDeclaration *Move,
                                  bool Moved) {
  GenerationChoice Result;
  if (Request.m_NonIdempotent) {
    // A client's ticket never determines where a write runs.
    if (Owner) {
      Result.m_Generation = generationForClaim(*Owner);
      Result.m_Paused = !Result.m_Generation;
    } else if (Service) {
      Result.m_Generation = Service->m_InitialGeneration;
    }
    return Result;
  }
  if (Ticket) {
    Result.m_Generation = Ticket->m_Generation;
    if (!Request.m_Conversation.empty() && !Ticket->m_ServedDigest.isZero())
      Result.m_RequiredDigest = Ticket->m_ServedDigest;
    return Result;
  }
  if (Move)
    Result.m_Generation = Moved ? Move->m_To : Move->m_From;
  else if (Owner)
    Result.m_Generation = Owner->m_Generation;
  else if (Service)
    Result.m_Generation = Service->m_InitialGeneration;
  return Result;
}

std::string MovedAccounts::encode() const {
  json::array Accounts;
  for (const ClientAccountId &Account : m_Accounts)
    Accounts.push_back(json::string(Account.str()));
  return json::serialize(json::object{{"accounts", std::move(Accounts)}});
}

std::optional<MovedAccounts> MovedAccounts::decode(std::string_view Text) {
  MovedAccounts Result;
  if (Text.empty())
    return Result;
  auto Value = parseJson(Text);
  if (!Value || !Value->is_object())
    return {};
  const json::value *Accounts = Value->get_object().if_contains("accounts");
  if (!Accounts || !Accounts->is_array() || Accounts->get_array().size() > MaxAccounts)
    return {};
  for (const json::value &Account : Accounts->get_array()) {
    if (!Account.is_string())
      return {};
    Result.m_Accounts.insert(ClientAccountId(std::string(Account.get_string())));
  }
  return Result;
}

std::string movedAccountsRowKey(const ServiceId &Service, const WorkClassId &Class) {
  return "moved/" + Service.str() + "/" + Class.str();
}

void MoveController::setAccounts(std::vector<ClientAccountId> Accounts,
                                 std::set<ClientAccountId> Moved) {
  m_Accounts = std::move(Accounts);
  m_Moved = std::move(Moved);
  std::erase_if(m_MoveOrder, [&](const auto &Id) { return !m_Moved.contains(Id); });
  // Accounts moved by another controller are appended in the declared order.
  for (const ClientAccountId &Id : m_Accounts)
    if (m_Moved.contains(Id) &&
        std::find(m_MoveOrder.begin(), m_MoveOrder.end(), Id) == m_MoveOrder.end())
      m_MoveOrder.push_back(Id);
}

void MoveController::observe(const GenerationId &Generation, std::uint64_t Answers,
                             std::uint64_t Met, TimePoint Now) {
  auto &Observed = m_Observed[Generation];
  if (Observed.empty() || Now >= Observed.back().m_Start + Window / BucketCount)
    Observed.push_back({Now, 0, 0});
  Observed.back().m_AnswerCount += Answers;
  Observed.back().m_MetCount += Met;
  while (Observed.size() > BucketCount)
    Observed.pop_front();
}

std::optional<double> MoveController::attainment(const GenerationId &Generation,
                                                 TimePoint Now) const {
  auto Found = m_Observed.find(Generation);
  if (Found == m_Observed.end())
    return {};
  std::uint64_t Answers = 0;
  std::uint64_t Met = 0;
  for (const Bucket &Each : Found->second)
    if (Each.m_Start + Window > Now) {
      Answers += Each.m_AnswerCount;
      Met += Each.m_MetCount;
    }
  if (Answers < MinAnswers)
    return {};
  return static_cast<double>(Met) / static_cast<double>(Answers);
}

bool MoveController::isMoveAllowed(std::size_t Limit, TimePoint Now) const {
  auto Recent = std::count_if(m_RecentMoves.begin(), m_RecentMoves.end(),
                              [&](TimePoint At) { return At + std::chrono::hours(1) > Now; });
  return !m_Rules.m_LimitMoveRate || static_cast<std::size_t>(Recent) < Limit;
}

MoveController::Actions MoveController::startMoves(std::vector<ClientAccountId> Accounts,
                                                   bool IsReturn, TimePoint Now) {
  Actions Result;
  while (!m_RecentMoves.empty() && m_RecentMoves.front() + std::chrono::hours(1) <= Now)
    m_RecentMoves.pop_front();
  for (ClientAccountId &Account : Accounts) {
    if (!isMoveAllowed(IsReturn ? MaxMovesPerHour : MaxMovesPerHour - ReservedReturnMoves, Now))
      break;
    m_RecentMoves.push_back(Now);
    if (!MovesWithinBound.check(m_RecentMoves.size() <= MaxMovesPerHour, m_Move.m_Service.str()))
      break;
    m_MovesInProgress[Account] = !IsReturn;
    Result.push_back({std::move(Account), IsReturn ? m_Move.m_To : m_Move.m_From,
                      IsReturn ? m_Move.m_From : m_Move.m_To});
  }
  return Result;
}

void MoveController::onMoveResult(const ClientAccountId &Account, bool Done, TimePoint Now) {
  auto Found = m_MovesInProgress.find(Account);
  if (Found == m_MovesInProgress.end())
    return;
  bool Forward = Found->second;
  m_MovesInProgress.erase(Found);
  // The next step depends on answers given after this one.
  m_NextStepAt = Now + StepInterval;
  if (!Done)
    return;
  if (Forward) {
    if (m_Moved.insert(Account).second)
      m_MoveOrder.push_back(Account);
    if (m_Moved.size() >= m_Accounts.size())
      m_HoldOff = HoldOff;
  } else {
    m_Moved.erase(Account);
    std::erase(m_MoveOrder, Account);
  }
}

MoveController::Actions MoveController::onTimer(TimePoint Now) {
  if (!m_MovesInProgress.empty())
    return {};
  auto New = attainment(m_Move.m_To, Now);
  auto Old = attainment(m_Move.m_From, Now);
  double ReturnBelow = m_Rules.m_Hysteresis ? ReturnShare : RequiredShare;
  // If the old generation does not do better, returning accounts would not help.
  bool OldIsBetter = !Old || !New || *Old > *New;
  if (m_Rules.m_ReturnAccounts && New && *New < ReturnBelow && OldIsBetter && !m_Moved.empty()) {
    std::size_t Count = (m_MoveOrder.size() + 1) / 2;
    std::vector<ClientAccountId> Back(m_MoveOrder.rbegin(),
                                      m_MoveOrder.rbegin() + static_cast<std::ptrdiff_t>(Count));
    if (m_Rules.m_Hysteresis) {
      m_HoldOffUntil = Now + m_HoldOff;
      m_HoldOff = std::min(m_HoldOff * 2, MaxHoldOff);
    }
    // Answers from before this step must not cause further returns before its effect shows.
    m_Observed.clear();
    return startMoves(std::move(Back), true, Now);
  }
  if (Now < m_HoldOffUntil || Now < m_NextStepAt)
    return {};
  // The first account moves without observations of the new generation, since there are none.
  if (!m_Moved.empty() && (!New || *New < RequiredShare))
    return {};
  std::vector<ClientAccountId> Next;
  for (const ClientAccountId &Account : m_Accounts)
    if (!m_Moved.contains(Account) && Next.size() < std::max<std::size_t>(1, m_Moved.size()))
      Next.push_back(Account);
  return startMoves(std::move(Next), false, Now);
}

} // namespace fescuegauge
