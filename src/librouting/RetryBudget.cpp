#include "Fescuegauge/RetryBudget.h"

#include "Fescuegauge/Invariant.h"

#include <algorithm>

namespace fescuegauge {

namespace {

Invariant BudgetHolds("routing.attempts_within_retry_budget");
Invariant HedgeIsIdempotent("routing.hedge_is_idempotent");

} // namespace

double &RetryBudget::accountBalance(const ClientAccountId &Account) {
  auto Found = m_Accounts.find(Account);
  if (Found != m_Accounts.end())
    return Found->second;
  if (m_Accounts.size() >= MaxAccounts)
    return m_SharedBalance;
  return m_Accounts.emplace(Account, AccountStart).first->second;
}

void RetryBudget::onFirstAttempt(const ClientAccountId &Account) {
  ++m_FirstAttempts;
  m_Balance = std::min(m_Balance + Share, MaxBalance);
  double &Own = accountBalance(Account);
  Own = std::min(Own + AccountShare, MaxAccountBalance);
}

bool RetryBudget::take(const ClientAccountId &Account, double Reserve) {
  double &Own = accountBalance(Account);
  if (m_Enforced && (m_Balance < 1 + Reserve || Own < 1))
    return false;
  // Rounding errors of the balance must not allow an attempt above the share.
  constexpr double Tolerance = 1e-6;
  bool Within = static_cast<double>(m_FurtherAttempts + 1) <=
                Share * static_cast<double>(m_FirstAttempts) + Tolerance;
  if (!BudgetHolds.check(Within) && m_Enforced)
    return false;
  m_Balance -= 1;
  Own -= 1;
  ++m_FurtherAttempts;
  return true;
}

bool RetryBudget::takeRetry(const ClientAccountId &Account) { return take(Account, 0); }

bool RetryBudget::takeHedge(const ClientAccountId &Account, bool NonIdempotent) {
  if (m_Enforced && NonIdempotent)
    return false;
  if (!HedgeIsIdempotent.check(!NonIdempotent) && m_Enforced)
    return false;
  return take(Account, HedgeReserve);
}

} // namespace fescuegauge
