#ifndef FESCUEGAUGE_REQUEST_H
#define FESCUEGAUGE_REQUEST_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <optional>
#include <vector>

namespace fescuegauge {

/// What an operator promises for one class of work. Absent fields promise nothing.
struct ClassTarget {
  WorkClassId m_Class;
  std::optional<Duration> m_AnswerWithin;
  std::optional<Duration> m_FirstTokenWithin;
  /// An answer that is older than this when it would be delivered is not delivered.
  std::optional<Duration> m_StaleAfter;
  /// Requests of the class are refused only when nothing else can be done.
  bool m_NeverLost = false;
  /// Requests of the class may run at most once and need an idempotency key.
  bool m_NonIdempotent = false;
  /// Priority passed to the engine; a higher number goes first.
  int m_Priority = 0;
};

/// What the system needs to know of a request to admit, claim and route it.
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
  /// Digests of the prompt's prefixes in blocks, shortest prefix first; for prefix-cache affinity.
  std::vector<std::uint64_t> m_PrefixBlocks;
  /// Estimated cost in tokens, prompt and answer together.
  std::uint32_t m_EstimatedTokens = 0;
};

/// What an upstream must satisfy to be chosen for one attempt of a request.
struct UpstreamQuery {
  /// Valid during the call only.
  const RequestDescription *m_Request = nullptr;
  /// Set when the generation is fixed by ownership of the account or by the conversation.
  std::optional<GenerationId> m_Generation;
  /// Set when a stream must resume on the same model version.
  std::optional<Digest> m_RequiredDigest;
  /// Upstreams that earlier attempts of the request used.
  std::vector<InstanceId> m_Excluded;
};

/// Chooses the upstream for an attempt. The request lifecycle calls it; routing implements it.
class UpstreamSelector {
public:
  virtual ~UpstreamSelector() = default;

  /// The chosen upstream, counted as in flight until released; nothing if none qualifies.
  virtual std::optional<InstanceId> select(const UpstreamQuery &Query, TimePoint Now) = 0;
  /// Ends the count for one attempt. `Lost` is true when the upstream was lost during it.
  virtual void release(const InstanceId &Upstream, const RequestDescription &Request, bool Lost,
                       TimePoint Now) = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_REQUEST_H
