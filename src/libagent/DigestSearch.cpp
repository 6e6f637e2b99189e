#include "DigestSearch.h"

#include "PieceProtocol.h"

namespace fescuegauge {

Task<std::optional<FoundDigests>> DigestSearch::run(std::vector<ManifestSources::Source> Sources,
                                                    std::function<bool()> IsAborted) {
  const TimePoint End = monotonicNow() + WeightsAgent::DigestsTimeout;
  TimePoint NextAt = monotonicNow();
  std::size_t Asked = 0;
  while (!m_Found && monotonicNow() < End && !IsAborted()) {
    if (Asked < Sources.size() && (m_RequestsInProgress == 0 || monotonicNow() >= NextAt)) {
      ask(Sources[Asked++]);
      NextAt = monotonicNow() + WeightsAgent::DigestsStagger;
    } else if (m_RequestsInProgress > 0) {
      m_Progress.expires_after(ProgressPollInterval);
      co_await m_Progress.async_wait(AsTuple);
    } else if (m_HaveAllPeersDeclined && !m_AskedOrigin) {
      Sources.push_back({});
    } else {
      break;
    }
  }
  m_IsFinished = true;
  co_return std::move(m_Found);
}

void DigestSearch::ask(const ManifestSources::Source &From) {
  ++m_RequestsInProgress;
  if (From.m_Peer) {
    spawnTask(m_Executor, "ask_digests", askPeer(*From.m_Peer));
  } else {
    m_AskedOrigin = true;
    spawnTask(m_Executor, "ask_origin", askOrigin());
  }
}

Task<> DigestSearch::askPeer(PiecePeer Peer) {
  auto Self = shared_from_this();
  const CallResult Answer = co_await m_HttpClient.call(
      Peer.m_Address, makeGet(piecePath(m_Model, m_Version, DigestsName)),
      WeightsAgent::DigestsTimeout);
  m_HaveAllPeersDeclined = m_HaveAllPeersDeclined && Answer.status() == StatusNotFound;
  m_IsPeerObtainingDigests = m_IsPeerObtainingDigests || Answer.status() == StatusUnavailable;
  if (Answer.status() == 200 && !m_Found) {
    PieceManifest Manifest{m_Model, m_Version, parseDigests(Answer.m_Response.body())};
    if (!Manifest.m_Digests.empty())
      m_Found = FoundDigests{std::move(Manifest), Peer.m_Id.str()};
  }
  finishRequest();
}

Task<> DigestSearch::askOrigin() {
  auto Self = shared_from_this();
  while (!m_Found && !m_IsFinished) {
    std::optional<PieceManifest> Manifest = co_await m_Origin.manifest(m_Model, m_Version);
    if (Manifest && !m_Found)
      m_Found = FoundDigests{std::move(*Manifest), "origin"};
    if (!m_Found)
      co_await sleepFor(WeightsAgent::RetryInterval);
  }
  finishRequest();
}

void DigestSearch::finishRequest() {
  --m_RequestsInProgress;
  m_Progress.cancel();
}

} // namespace fescuegauge
