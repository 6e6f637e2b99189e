#ifndef FESCUEGAUGE_REQUEST_H
#define FESCUEGAUGE_REQUEST_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <optional>
#include <vector>

namespace fescuegauge {

/// The service-level target that an operator declares for one work class. Absent fields set no
/// target.
struct ClassTarget {
  WorkClassId m_Class;
  std::optional<Duration> m_AnswerWithin;
  std::optional<Duration> m_FirstTokenWithin;
  /// An answer older than this is not delivered.
  std::optional<Duration> m_StaleAfter;
  /// Requests of the class are refused only after requests of all other classes.
  bool m_NeverLost = false;
  /// Requests of the class may run at most once and need an idempotency key.
  bool m_NonIdempotent = false;
  /// Priority that is passed to the engine; higher numbers have precedence.
  int m_Priority = 0;
};

/// The properties of a request that admission, claiming and routing use.
struct RequestDescription {
  RequestId m_Id;
  ClientAccountId m_Account;
  ServiceId m_Service;
  WorkClassId m_Class;
  bool m_NonIdempotent = false;
  /// Empty unless the caller sent one.
  IdempotencyKey m_Key;
  Digest m_BodyDigest;
  /// Empty unless the request continues a conversation.
  ConversationId m_Conversation;
  /// Digests of the prompt's prefixes at block boundaries, shortest prefix first, for prefix-cache
  /// affinity.
  std::vector<std::uint64_t> m_PrefixBlocks;
  /// Estimated number of tokens in prompt and answer together.
  std::uint32_t m_EstimatedTokens = 0;
};

/// The conditions that an upstream has to meet to be selected for one attempt of a request.
struct UpstreamQuery {
  /// Not owned; valid only during the call.
  const RequestDescription *m_Request = nullptr;
  /// Set if the generation is determined by ownership of the account or by the conversation.
  std::optional<GenerationId> m_Generation;
  /// Set if a stream has to resume on the same model version.
  std::optional<Digest> m_RequiredDigest;
  /// Upstreams that earlier attempts of the request used.
  std::vector<InstanceId> m_Excluded;
};

/// Selects the upstream for an attempt. The request lifecycle calls this interface; Router
/// implements it.
class UpstreamSelector {
public:
  virtual ~UpstreamSelector() = default;

  /// Returns the selected upstream, or nothing if none meets the conditions. The request counts as
  /// in flight at the upstream until release().
  virtual std::optional<InstanceId> select(const UpstreamQuery &Query, TimePoint Now) = 0;
  /// Ends one attempt that select() counted as in flight. `Lost` is true if the upstream was lost
  /// during the attempt.
  virtual void release(const InstanceId &Upstream, const RequestDescription &Request, bool Lost,
                       TimePoint Now) = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_REQUEST_H
