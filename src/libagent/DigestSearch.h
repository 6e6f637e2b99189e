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
  /// The id of the agent that provided the digests, or "origin".
  std::string m_Source;
};

/// One attempt to obtain the piece digests of a version.
///
/// Sources are asked one after the other without waiting for each one to fail, since a hung agent
/// does not answer. Requests to the origin are repeated while the attempt lasts, since the origin
/// may have been unreachable. A list that does not match the declared pieces counts as no answer,
/// whichever source it comes from.
class DigestSearch : public std::enable_shared_from_this<DigestSearch> {
public:
  DigestSearch(net::any_io_executor Executor, AsyncHttpClient &HttpClient,
               WeightsOriginClient &Origin, CounterMetric &RefusedLists, DeclaredPieces Wanted)
      : m_Executor(std::move(Executor)), m_HttpClient(HttpClient), m_Origin(Origin),
        m_RefusedLists(RefusedLists), m_Wanted(std::move(Wanted)), m_Progress(m_Executor) {}

  /// Returns the first answer; nothing after WeightsAgent::DigestsTimeout, when all sources failed,
  /// or when `IsAborted` returns true. To be called once.
  Task<std::optional<FoundDigests>> run(std::vector<ManifestSources::Source> Sources,
                                        std::function<bool()> IsAborted);
  /// Whether an agent answered that it is about to obtain the digests.
  bool isPeerObtainingDigests() const { return m_IsPeerObtainingDigests; }
  /// Whether a list of the origin was refused.
  bool wasOriginRefused() const { return m_WasOriginRefused; }

private:
  void ask(const ManifestSources::Source &From);
  Task<> askPeer(PiecePeer Peer);
  Task<> askOrigin();
  /// Ends the search with `Received`, unless it does not match the declared pieces. Returns whether
  /// it matches.
  bool accept(DigestList Received, std::string Source);
  void refuse(std::string_view Reason, std::string_view Source);
  void finishRequest();

  net::any_io_executor m_Executor;
  AsyncHttpClient &m_HttpClient;
  WeightsOriginClient &m_Origin;
  CounterMetric &m_RefusedLists;
  DeclaredPieces m_Wanted;
  /// Cancelled when a request ends.
  net::steady_timer m_Progress;
  std::optional<FoundDigests> m_Found;
  /// Number of requests in progress.
  std::size_t m_RequestsInProgress = 0;
  bool m_AskedOrigin = false;
  /// True while every agent that answered reported that it will not obtain the digests.
  bool m_HaveAllPeersDeclined = true;
  bool m_IsPeerObtainingDigests = false;
  bool m_WasOriginRefused = false;
  bool m_IsFinished = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBAGENT_DIGESTSEARCH_H
