#include "EntryClient.h"

#include "Fescuegauge/BlockingHttpExchange.h"
#include "Fescuegauge/EndpointText.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace fescuegauge {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

/// Maximum JSON nesting of a response; dumps are nested most deeply.
constexpr std::size_t MaxAnswerDepth = 64;
constexpr int HttpOk = 200;
/// Number of changes read from the history to find a proposal whose response was lost. Far more
/// than are accepted while a proposal is in progress.
constexpr int HistoryLookupLimit = 100;

} // namespace

/// The result of one request to one instance.
struct EntryClient::Exchange {
  /// False when the request certainly did not reach the instance.
  bool m_WasSent = false;
  int m_Status = 0;
  /// The response body; nothing if none was received or it is not a JSON object.
  std::optional<json::object> m_Answer;
  /// Why there is no response body.
  std::string m_Failure;

  /// The error that the instance reported; nothing if it reported none.
  std::optional<ErrorBody> error() const {
    if (!m_Answer || m_Status == HttpOk)
      return std::nullopt;
    return readErrorBody(*m_Answer);
  }
};

EntryClient::EntryClient(std::vector<Endpoint> Entries, ClientLimits Limits)
    : m_Entries(std::move(Entries)), m_Limits(Limits) {}

EntryClient::Exchange EntryClient::exchange(const Endpoint &Entry, const std::string &Method,
                                            const std::string &Path,
                                            const std::string &Body) const {
  Exchange Result;
  try {
    BlockingHttpExchange Server(
        Entry, {m_Limits.m_ConnectTimeout, m_Limits.m_ReceiveTimeout, m_Limits.m_TotalTimeout});
    Result.m_WasSent = true;
    Poco::Net::HTTPRequest Request(Method, Path, Poco::Net::HTTPMessage::HTTP_1_1);
    Request.set("Accept", "application/json");
    if (!Body.empty())
      Request.setContentType("application/json");
    Server.start(Request, Body);
    Result.m_Status = Server.status();
    const std::optional<std::string> Text = Server.readRest(m_Limits.m_MaxAnswer);
    if (!Text) {
      Result.m_Failure =
          "answer is larger than " + std::to_string(m_Limits.m_MaxAnswer.count()) + " bytes";
      return Result;
    }
    json::parse_options Options;
    Options.max_depth = MaxAnswerDepth;
    json::error_code Failure;
    json::value Parsed = json::parse(*Text, Failure, {}, Options);
    if (Failure || !Parsed.is_object())
      Result.m_Failure =
          "answer with HTTP status " + std::to_string(Result.m_Status) + " is not a JSON object";
    else
      Result.m_Answer = std::move(Parsed.get_object());
  } catch (const Poco::Exception &Failure) {
    Result.m_Failure = Failure.displayText();
  }
  return Result;
}

leaf::result<json::object> EntryClient::get(const std::string &Path) {
  std::string Failures;
  std::optional<ErrorBody> LastError;
  for (std::size_t I = 0; I < m_Entries.size(); ++I) {
    std::size_t Index = (m_PreferredIndex + I) % m_Entries.size();
    Exchange Result = exchange(m_Entries[Index], "GET", Path, {});
    std::optional<ErrorBody> Error = Result.error();
    if (Result.m_Status == HttpOk && Result.m_Answer) {
      m_PreferredIndex = Index;
      return std::move(*Result.m_Answer);
    }
    if (Error && !isRetryable(Error->m_Kind))
      return toolError(Error->m_Kind, Error->m_Message);
    if (Error)
      LastError = Error;
    else if (Result.m_Failure.empty())
      Result.m_Failure = "unexpected HTTP status " + std::to_string(Result.m_Status);
    Failures += (Failures.empty() ? "" : "; ") + endpointText(m_Entries[Index]) + ": " +
                (Error ? Error->m_Message : Result.m_Failure);
  }
  return toolError(LastError ? LastError->m_Kind : ErrorKind::PeerUnreachable, Failures);
}

leaf::result<ProposalOutcome> EntryClient::propose(const ChangeProposal &Proposal) {
  const std::string Body = json::serialize(Proposal.json());
  std::string Failures;
  std::optional<ErrorBody> LastError;
  bool MayHaveTakenEffect = false;
  for (std::size_t I = 0; I < m_Entries.size(); ++I) {
    std::size_t Index = (m_PreferredIndex + I) % m_Entries.size();
    Exchange Result = exchange(m_Entries[Index], "POST", "/operator/targets", Body);
    if (Result.m_Answer)
      if (std::optional<ProposalOutcome> Outcome = readProposalOutcome(*Result.m_Answer)) {
        m_PreferredIndex = Index;
        // An instance that is unaware of the first attempt only sees that the base is stale.
        if (Outcome->m_Kind == ProposalOutcome::Kind::Refused && MayHaveTakenEffect)
          if (auto Change = findInHistory(Proposal))
            return ProposalOutcome{ProposalOutcome::Kind::Accepted, *Change, {}};
        return std::move(*Outcome);
      }
    std::optional<ErrorBody> Error = Result.error();
    const bool WasNotRun = !Result.m_WasSent || (Error && Error->m_WasRun == WasRun::No);
    MayHaveTakenEffect |= !WasNotRun;
    if (Error && WasNotRun && !MayHaveTakenEffect && !isRetryable(Error->m_Kind))
      return toolError(Error->m_Kind, Error->m_Message);
    if (Error)
      LastError = Error;
    else if (Result.m_Failure.empty())
      Result.m_Failure = "no definite outcome, HTTP status " + std::to_string(Result.m_Status);
    Failures += (Failures.empty() ? "" : "; ") + endpointText(m_Entries[Index]) + ": " +
                (Error ? Error->m_Message : Result.m_Failure);
  }
  if (!MayHaveTakenEffect)
    return toolError(LastError ? LastError->m_Kind : ErrorKind::PeerUnreachable, Failures);
  if (auto Change = findInHistory(Proposal))
    return ProposalOutcome{ProposalOutcome::Kind::Accepted, *Change, {}};
  return toolError(ErrorKind::OutcomeUnknown,
                   "it is not known whether change " + Proposal.m_Id.str() +
                       " was accepted; running the command again is harmless (" + Failures + ")");
}

std::optional<ChangeNumber> EntryClient::findInHistory(const ChangeProposal &Proposal) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<ChangeNumber>> {
        BOOST_LEAF_AUTO(Answer,
                        get("/operator/history?after=" + std::to_string(Proposal.m_Base.value()) +
                            "&limit=" + std::to_string(HistoryLookupLimit)));
        BOOST_LEAF_AUTO(Changes, readHistory(Answer));
        for (const HistoryChange &Change : Changes)
          if (Change.m_Id == Proposal.m_Id)
            return std::optional(Change.m_Change);
        return std::optional<ChangeNumber>();
      },
      [] { return std::optional<ChangeNumber>(); });
}

} // namespace fescuegauge
