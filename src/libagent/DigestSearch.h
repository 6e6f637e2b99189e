#ifndef FESCUEGAUGE_LIBAGENT_DIGESTSEARCH_H
#define FESCUEGAUGE_LIBAGENT_DIGESTSEARCH_H

#include "Fescuegauge/AsyncHttpClient.h"
#include "Fescuegauge/ManifestSources.h"
#include "Fescuegauge/WeightsAgent.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuegauge {

struct FoundDigests {
  PieceManifest m_Manifest;
  /// The agent that gave them, or "origin".
  std::string m_Source;
};

/// One attempt to learn the digests of a version's pieces.
///
/// Sources are asked one after the other without waiting for each to fail, since an agent that is
/// frozen does not answer. The origin is asked again while others are waited for, since it may have
/// been away.
class DigestSearch : public std::enable_shared_from_this<DigestSearch> {
public:
  DigestSearch(net::any_io_executor Executor, AsyncHttpClient &Caller, WeightsOriginClient &Origin,
               ModelId Model, WeightsVersion Version)
      : m_Executor(std::move(Executor)), m_Caller(Caller), m_Origin(Origin),
        m_Model(std::move(Model)), m_Version(Version), m_Progress(m_Executor) {}

  /// Returns the first answer; nothing after WeightsAgent::DigestsTimeout, when all sources failed,
  /// or when `IsAborted` says so. To be called once.
  Task<std::optional<FoundDigests>> run(std::vector<ManifestSources::Source> Sources,
                                        std::function<bool()> IsAborted);
  /// Whether an agent answered that it is about to learn them.
  bool doesSomePeerLearn() const { return m_SomePeerLearns; }

private:
  void ask(const ManifestSources::Source &From);
  Task<> askPeer(PiecePeer Peer);
  Task<> askOrigin();
  void finishQuestion();

  net::any_io_executor m_Executor;
  AsyncHttpClient &m_Caller;
  WeightsOriginClient &m_Origin;
  ModelId m_Model;
  WeightsVersion m_Version;
  /// Cancelled when a question ends.
  net::steady_timer m_Progress;
  std::optional<FoundDigests> m_Found;
  /// Questions without an answer yet.
  std::size_t m_Open = 0;
  bool m_AskedOrigin = false;
  /// Every agent that answered said that it will not learn them.
  bool m_NobodyLearns = true;
  bool m_SomePeerLearns = false;
  bool m_IsOver = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBAGENT_DIGESTSEARCH_H
