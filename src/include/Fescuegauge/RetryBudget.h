#ifndef FESCUEGAUGE_RETRYBUDGET_H
#define FESCUEGAUGE_RETRYBUDGET_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <cstdint>
#include <unordered_map>

namespace fescuegauge {

/// Limits attempts after the first, retries and hedges together, to a share of first attempts.
///
/// Every first attempt adds `Share` to a balance, every further one takes 1 from it. The balance
/// starts at 0, so the number of attempts never exceeds (1 + Share) times the number of requests.
/// Each account also has a balance of its own, so that one account cannot use up the retries of
/// all.
class RetryBudget {
public:
  /// Attempts per request are at most 1.1.
  static constexpr double Share = 0.1;
  /// Largest balance; limits how many retries a quiet period can pay for at once.
  static constexpr double MaxBalance = 50;
  /// An account may use up to twice the general share of its own requests and starts with one
  /// retry.
  static constexpr double AccountShare = 0.2;
  static constexpr double AccountStart = 1;
  static constexpr double MaxAccountBalance = 10;
  /// Hedges leave this much of the balance to retries, which are of more use.
  static constexpr double HedgeReserve = 2;
  /// Accounts with a balance of their own. Further ones share a single balance.
  static constexpr std::size_t MaxAccounts = 1024;

  /// With `Enforced` false every attempt is allowed; for baselines and mutants.
  explicit RetryBudget(bool Enforced = true) : m_Enforced(Enforced) {}

  void onFirstAttempt(const ClientAccountId &Account);
  /// Takes one retry from the balances if both allow it.
  bool takeRetry(const ClientAccountId &Account);
  /// Takes one hedge; never for non-idempotent work.
  bool takeHedge(const ClientAccountId &Account, bool NonIdempotent);

  std::uint64_t firstAttempts() const { return m_FirstAttempts; }
  std::uint64_t furtherAttempts() const { return m_FurtherAttempts; }

private:
  bool take(const ClientAccountId &Account, double Reserve);
  double &accountBalance(const ClientAccountId &Account);

  bool m_Enforced;
  double m_Balance = 0;
  double m_SharedBalance = AccountStart;
  std::unordered_map<ClientAccountId, double> m_Accounts;
  std::uint64_t m_FirstAttempts = 0;
  std::uint64_t m_FurtherAttempts = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_RETRYBUDGET_H
