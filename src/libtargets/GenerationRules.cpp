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
  // The generation comes first and may contain dots itself.
  std::size_t Last = Text.rfind('.');
  if (Last == std::string_view::npos || Last < 3 || Text.size() > 256)
    return {};
  std::string_view DigestText = Text.substr(Last + 1);
  std::string_view Front = Text.substr(0, Last);
  if (Front[Front.size() - 2] != '.' || (Front.back() != 'w' && Front.back() != 'r'))
    return {};
  GenerationTicket Result;
  Result.m_Generation = GenerationId(std::string(Front.substr(0, Front.size() - 2)));
  Result.m_AcknowledgedWrite = Front.back() == 'w';
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
    // The ticket of a caller never decides where a write runs.
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

std::string movedKey(const ServiceId &Service, const WorkClassId &Class) {
  return "moved/" + Service.str() + "/" + Class.str();
}

void MoveController::setAccounts(std::vector<ClientAccountId> Accounts,
                                 std::set<ClientAccountId> Moved) {
  m_Accounts = std::move(Accounts);
  m_Moved = std::move(Moved);
  std::erase_if(m_MovedOrder, [&](const auto &Id) { return !m_Moved.contains(Id); });
  // Accounts that another controller moved count as moved in the declared order.
  for (const ClientAccountId &Id : m_Accounts)
    if (m_Moved.contains(Id) &&
        std::find(m_MovedOrder.begin(), m_MovedOrder.end(), Id) == m_MovedOrder.end())
      m_MovedOrder.push_back(Id);
}

void MoveController::observe(const GenerationId &Generation, std::uint64_t Answers,
                             std::uint64_t Met, TimePoint Now) {
  auto &Observed = m_Observed[Generation];
  if (Observed.empty() || Now >= Observed.back().m_Start + Window / Buckets)
    Observed.push_back({Now, 0, 0});
  Observed.back().m_Answers += Answers;
  Observed.back().m_Met += Met;
  while (Observed.size() > Buckets)
    Observed.pop_front();
}

std::optional<double> MoveController::attainment(const GenerationId &Generation,
                                                 TimePoint Now) const {
  auto Found = m_Observed.find(Generation);
  if (Found == m_Observed.end())
    return {};
  std::uint64_t Answers = 0;
  std::uint64_t Met = 0;
  for (const Bucket &Part : Found->second)
    if (Part.m_Start + Window > Now) {
      Answers += Part.m_Answers;
      Met += Part.m_Met;
    }
  if (Answers < MinAnswers)
    return {};
  return static_cast<double>(Met) / static_cast<double>(Answers);
}

bool MoveController::mayMove(std::size_t Limit, TimePoint Now) const {
  auto Recent = std::count_if(m_RecentMoves.begin(), m_RecentMoves.end(),
                              [&](TimePoint At) { return At + std::chrono::hours(1) > Now; });
  return !m_Rules.m_BoundMoves || static_cast<std::size_t>(Recent) < Limit;
}

MoveController::Actions MoveController::begin(std::vector<ClientAccountId> Accounts, bool Back,
                                              TimePoint Now) {
  Actions Result;
  while (!m_RecentMoves.empty() && m_RecentMoves.front() + std::chrono::hours(1) <= Now)
    m_RecentMoves.pop_front();
  for (ClientAccountId &Account : Accounts) {
    if (!mayMove(Back ? MaxMovesPerHour : MaxMovesPerHour - ReservedForReturn, Now))
      break;
    m_RecentMoves.push_back(Now);
    if (!MovesWithinBound.check(m_RecentMoves.size() <= MaxMovesPerHour, m_Move.m_Service.str()))
      break;
    m_UnderWay[Account] = !Back;
    Result.push_back({std::move(Account), Back ? m_Move.m_To : m_Move.m_From,
                      Back ? m_Move.m_From : m_Move.m_To});
  }
  return Result;
}

void MoveController::onMoved(const ClientAccountId &Account, bool Done, TimePoint Now) {
  auto Found = m_UnderWay.find(Account);
  if (Found == m_UnderWay.end())
    return;
  bool Forward = Found->second;
  m_UnderWay.erase(Found);
  // What follows is judged by answers from after the step.
  m_NextStep = Now + ProveTime;
  if (!Done)
    return;
  if (Forward) {
    if (m_Moved.insert(Account).second)
      m_MovedOrder.push_back(Account);
    if (m_Moved.size() >= m_Accounts.size())
      m_HoldOff = HoldOff;
  } else {
    m_Moved.erase(Account);
    std::erase(m_MovedOrder, Account);
  }
}

MoveController::Actions MoveController::onTime(TimePoint Now) {
  if (!m_UnderWay.empty())
    return {};
  auto New = attainment(m_Move.m_To, Now);
  auto Old = attainment(m_Move.m_From, Now);
  double ReturnBelow = m_Rules.m_Hysteresis ? ReturnShare : RequiredShare;
  // When the old generation does no better, moving back would not restore the promise.
  bool OldIsBetter = !Old || !New || *Old > *New;
  if (m_Rules.m_MoveBack && New && *New < ReturnBelow && OldIsBetter && !m_Moved.empty()) {
    std::size_t Count = (m_MovedOrder.size() + 1) / 2;
    std::vector<ClientAccountId> Back(m_MovedOrder.rbegin(),
                                      m_MovedOrder.rbegin() + static_cast<std::ptrdiff_t>(Count));
    if (m_Rules.m_Hysteresis) {
      m_NotBefore = Now + m_HoldOff;
      m_HoldOff = std::min(m_HoldOff * 2, MaxHoldOff);
    }
    // Old answers must not send the rest back before the effect of this step is seen.
    m_Observed.clear();
    return begin(std::move(Back), true, Now);
  }
  if (Now < m_NotBefore || Now < m_NextStep)
    return {};
  // The first account moves without evidence from the new generation; there is none yet.
  if (!m_Moved.empty() && (!New || *New < RequiredShare))
    return {};
  std::vector<ClientAccountId> Next;
  for (const ClientAccountId &Account : m_Accounts)
    if (!m_Moved.contains(Account) && Next.size() < std::max<std::size_t>(1, m_Moved.size()))
      Next.push_back(Account);
  return begin(std::move(Next), false, Now);
}

} // namespace fescuegauge
