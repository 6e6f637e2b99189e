#ifndef FESCUEGAUGE_RETRYBUDGET_H
#define FESCUEGAUGE_RETRYBUDGET_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <cstdint>
#include <unordered_map>

namespace fescuegauge {

/// Limits the total number of retries and hedges to a fraction of the number of first attempts.
///
/// Every first attempt adds `Share` to a token balance, and every further attempt takes 1 from it.
/// The balance starts at 0, so the number of attempts never exceeds (1 + Share) times the number of
/// requests. Each account also has its own balance, so that one account cannot use up the retries
/// of all others.
class RetryBudget {
public:
  /// Limits the attempts per request to 1.1.
  static constexpr double Share = 0.1;
  /// Maximum balance; limits the burst of retries after a period with few of them.
  static constexpr double MaxBalance = 50;
  /// An account may use up to twice the general share for its own requests, and its balance starts
  /// with one retry.
  static constexpr double AccountShare = 0.2;
  static constexpr double AccountStart = 1;
  static constexpr double MaxAccountBalance = 10;
  /// Balance that hedges leave for retries, because a retry is more useful than a hedge.
  static constexpr double HedgeReserve = 2;
  /// Maximum number of accounts with a separate balance; further accounts share one.
  static constexpr std::size_t MaxAccounts = 1024;

  /// With `Enforced` false, every attempt is allowed; for baseline measurements and mutation tests.
  explicit RetryBudget(bool Enforced = true) : m_Enforced(Enforced) {}

  void onFirstAttempt(const ClientAccountId &Account);
  /// Takes one retry from both balances. Returns false if either of them is used up.
  bool takeRetry(const ClientAccountId &Account);
  /// Takes one hedge from both balances. Returns false if either of them is used up or the request
  /// is non-idempotent.
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
