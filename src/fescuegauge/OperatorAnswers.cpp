#include "OperatorAnswers.h"

#include <algorithm>
#include <boost/json/array.hpp>

namespace fescuegauge {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

// These helpers let the exceptions of Boost.JSON for missing or mistyped members pass;
// catchParseErrors() converts them into an error.
std::string text(const json::object &From, const char *Key) {
  return std::string(From.at(Key).as_string());
}

std::uint64_t number(const json::object &From, const char *Key) {
  return From.at(Key).to_number<std::uint64_t>();
}

ChangeNumber change(const json::object &From, const char *Key) {
  return ChangeNumber(number(From, Key));
}

/// The elements of an array member; none if it is absent.
template <typename Read> auto list(const json::object &From, const char *Key, Read ReadElement) {
  std::vector<decltype(ReadElement(From.at(Key)))> Elements;
  if (const json::value *Present = From.if_contains(Key))
    for (const json::value &Element : Present->as_array())
      Elements.push_back(ReadElement(Element));
  return Elements;
}

template <typename Read>
auto catchParseErrors(Read Function) -> leaf::result<decltype(Function())> {
  try {
    return Function();
  } catch (const std::exception &) {
    return toolError(ErrorKind::PeerUnreachable,
                     "the answer of the entry instance lacks a part or has one of a wrong type");
  }
}

std::string asText(const json::value &Value) { return std::string(Value.as_string()); }

DeclarationText readDeclaration(const json::object &From) {
  return {text(From, "name"), text(From, "kind"), From.at("spec").as_object()};
}

RolloutProgress readRollout(const json::value &Value) {
  const json::object &From = Value.as_object();
  return {ServiceId(text(From, "service")), ModelVersionId(text(From, "version")),
          number(From, "live"), number(From, "wanted"), Bytes(number(From, "originBytes"))};
}

DataCentreStatus readDataCentre(const json::value &Value) {
  const json::object &From = Value.as_object();
  DataCentreStatus Status;
  Status.m_DataCentre = DataCentreId(text(From, "dataCentre"));
  Status.m_Change = change(From, "change");
  Status.m_Instances = number(From, "instances");
  Status.m_Live = number(From, "live");
  Status.m_Laggards = list(From, "laggards", [](const json::value &Element) {
    const json::object &Laggard = Element.as_object();
    return std::pair(InstanceId(text(Laggard, "instance")), change(Laggard, "change"));
  });
  Status.m_Unreachable = list(From, "unreachable", asText);
  Status.m_Rollouts = list(From, "rollouts", readRollout);
  return Status;
}

json::array namesOf(const std::vector<std::string> &Names) {
  return json::array(Names.begin(), Names.end());
}

} // namespace

const DeclarationInForce *TargetsAnswer::find(std::string_view Name) const {
  auto Found = std::ranges::find_if(m_Declarations, [&](const DeclarationInForce &Each) {
    return Each.m_Declaration.m_Name == Name;
  });
  return Found == m_Declarations.end() ? nullptr : &*Found;
}

json::object ChangeProposal::json() const {
  json::array Puts;
  for (const DeclarationText &Put : m_Puts)
    Puts.push_back({{"name", Put.m_Name}, {"kind", Put.m_Kind}, {"spec", Put.m_Spec}});
  return {{"changeId", m_Id.str()},
          {"base", m_Base.value()},
          {"author", m_Author},
          {"puts", std::move(Puts)},
          {"deletes", namesOf(m_Deletes)}};
}

json::object ProposalOutcome::json() const {
  switch (m_Kind) {
  case Kind::Accepted:
    return {{"outcome", "accepted"}, {"change", m_Change.value()}};
  case Kind::Unchanged:
    return {{"outcome", "unchanged"}, {"change", m_Change.value()}};
  case Kind::Refused:
    break;
  }
  json::array Conflicts;
  for (const ProposalConflict &Conflict : m_Conflicts)
    Conflicts.push_back({{"name", Conflict.m_Name},
                         {"author", Conflict.m_Author},
                         {"change", Conflict.m_Change.value()},
                         {"spec", Conflict.m_Spec}});
  return {{"outcome", "refused"},
          {"error", "stale-base-version"},
          {"change", m_Change.value()},
          {"conflicts", std::move(Conflicts)}};
}

leaf::result<TargetsAnswer> readTargets(const json::object &Answer) {
  return catchParseErrors([&] {
    return TargetsAnswer{change(Answer, "change"),
                         list(Answer, "declarations", [](const json::value &Element) {
                           const json::object &From = Element.as_object();
                           return DeclarationInForce{readDeclaration(From), change(From, "change")};
                         })};
  });
}

leaf::result<std::vector<HistoryChange>> readHistory(const json::object &Answer) {
  return catchParseErrors([&] {
    return list(Answer, "changes", [](const json::value &Element) {
      const json::object &From = Element.as_object();
      return HistoryChange{
          change(From, "change"), ChangeId(text(From, "changeId")), text(From, "author"),
          list(From, "puts", [](const json::value &Put) { return text(Put.as_object(), "name"); }),
          list(From, "deletes", asText)};
    });
  });
}

leaf::result<StatusAnswer> readStatus(const json::object &Answer) {
  return catchParseErrors([&] {
    return StatusAnswer{change(Answer, "change"), list(Answer, "dataCentres", readDataCentre)};
  });
}

std::optional<ProposalOutcome> readProposalOutcome(const json::object &Answer) {
  try {
    const std::string Name = text(Answer, "outcome");
    ProposalOutcome Outcome;
    if (Name == "accepted")
      Outcome.m_Kind = ProposalOutcome::Kind::Accepted;
    else if (Name == "unchanged")
      Outcome.m_Kind = ProposalOutcome::Kind::Unchanged;
    else if (Name == "refused")
      Outcome.m_Kind = ProposalOutcome::Kind::Refused;
    else
      return std::nullopt;
    Outcome.m_Change = change(Answer, "change");
    Outcome.m_Conflicts = list(Answer, "conflicts", [](const json::value &Element) {
      const json::object &From = Element.as_object();
      const json::value *Spec = From.if_contains("spec");
      return ProposalConflict{text(From, "name"), text(From, "author"), change(From, "change"),
                              Spec ? *Spec : json::value()};
    });
    return Outcome;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

std::optional<ErrorBody> readErrorBody(const json::object &Answer) {
  const json::value *Error = Answer.if_contains("error");
  if (!Error || !Error->is_string())
    return std::nullopt;
  const std::string_view Name = Error->get_string();
  ErrorBody Body;
  if (auto Kind = errorKindFromName(Name))
    Body.m_Kind = *Kind;
  if (const json::value *Message = Answer.if_contains("message"); Message && Message->is_string())
    Body.m_Message = Message->get_string();
  if (!errorKindFromName(Name))
    Body.m_Message = "error \"" + std::string(Name) + "\": " + Body.m_Message;
  Body.m_WasRun = errorAnswer(Body.m_Kind).m_WasRun;
  if (const json::value *Run = Answer.if_contains("run"); Run && Run->is_string())
    for (WasRun Value : {WasRun::No, WasRun::Yes, WasRun::Unknown})
      if (std::string_view(Run->get_string()) == wasRunName(Value))
        Body.m_WasRun = Value;
  return Body;
}

} // namespace fescuegauge
