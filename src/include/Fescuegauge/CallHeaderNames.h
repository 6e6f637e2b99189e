#ifndef FESCUEGAUGE_CALLHEADERNAMES_H
#define FESCUEGAUGE_CALLHEADERNAMES_H

#include <string>

namespace fescuegauge {

/// Names of the HTTP headers that clients, entry instances and upstreams exchange. A deployment
/// whose clients or upstreams use other names overrides the defaults.
struct CallHeaderNames {
  /// Id of the client's request, echoed in the response.
  std::string m_RequestId = "Request-Id";
  /// Time limit in milliseconds: from a client the whole limit, to an upstream the remaining time.
  std::string m_Deadline = "Deadline-Ms";
  /// Key of a client account. Never forwarded.
  std::string m_AccountKey = "Account-Key";
  /// Id of the client account, set on requests to an upstream.
  std::string m_Account = "Client-Account";
  /// Model that the request needs.
  std::string m_Model = "Model";
  /// Number of prompt tokens and maximum number of output tokens, separated by a comma.
  std::string m_TokenUsage = "Token-Usage";
  /// Parts of the prompt in their order, as comma-separated pairs of an id and a number of tokens,
  /// separated by a colon. Requests may share all parts but the last.
  std::string m_PromptParts = "Prompt-Parts";
  /// Id of the upstream that the request is sent to. Any other upstream refuses it.
  std::string m_ExpectedUpstream = "Expected-Upstream";
  /// Required version of the weights. An upstream with another version refuses the request.
  std::string m_ExpectedWeights = "Expected-Weights";
  /// Priority among the requests queued at an upstream.
  std::string m_UpstreamPriority = "Upstream-Priority";
  /// In an upstream's response: the upstream did not run the request.
  std::string m_NotRun = "Not-Run";
  /// In an upstream's response: the upstream is leaving and takes no further requests.
  std::string m_UpstreamLeaving = "Upstream-Leaving";
  /// In an upstream's response: its rate limit in requests per second, over all instances together.
  std::string m_UpstreamRate = "Upstream-Rate";
  /// In an upstream's response: for how many milliseconds it stays cold.
  std::string m_UpstreamCold = "Upstream-Cold-Ms";
  /// In an upstream's response: the version of the weights that produced it.
  std::string m_WeightsVersion = "Weights-Version";
  /// Selects a path through several runners. Never forwarded.
  std::string m_RunnerPath = "Runner-Path";
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CALLHEADERNAMES_H
