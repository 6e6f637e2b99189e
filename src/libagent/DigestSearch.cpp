#include "DigestSearch.h"

#include "PieceProtocol.h"

#include "Fescuegauge/Log.h"

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
      Peer.m_Address, makeGet(piecePath(m_Wanted.m_Model, m_Wanted.m_Version, DigestsName)),
      WeightsAgent::DigestsTimeout);
  m_HaveAllPeersDeclined = m_HaveAllPeersDeclined && Answer.status() == StatusNotFound;
  m_IsPeerObtainingDigests = m_IsPeerObtainingDigests || Answer.status() == StatusUnavailable;
  if (Answer.status() == 200 && !m_Found) {
    if (auto Received = parseDigests(Answer.m_Response.body()))
      accept(std::move(*Received), Peer.m_Id.str());
    else
      refuse("the list is malformed", Peer.m_Id.str());
  }
  finishRequest();
}

Task<> DigestSearch::askOrigin() {
  auto Self = shared_from_this();
  while (!m_Found && !m_IsFinished) {
    std::optional<DigestList> Received =
        co_await m_Origin.digests(m_Wanted.m_Model, m_Wanted.m_Version);
    if (Received && !m_Found)
      m_WasOriginRefused = !accept(std::move(*Received), "origin");
    if (!m_Found)
      co_await sleepFor(WeightsAgent::RetryInterval);
  }
  finishRequest();
}

bool DigestSearch::accept(DigestList Received, std::string Source) {
  std::string Error;
  auto Manifest = PieceManifest::create(m_Wanted, std::move(Received), Error);
  if (!Manifest) {
    refuse(Error, Source);
    return false;
  }
  m_Found = FoundDigests{std::move(*Manifest), std::move(Source)};
  return true;
}

void DigestSearch::refuse(std::string_view Reason, std::string_view Source) {
  m_RefusedLists.add();
  logEvent(Severity::Warning, "digests_refused",
           {{"model", m_Wanted.m_Model},
            {"version", m_Wanted.m_Version},
            {"from", Source},
            {"reason", Reason}});
}

void DigestSearch::finishRequest() {
  --m_RequestsInProgress;
  m_Progress.cancel();
}

} // namespace fescuegauge
