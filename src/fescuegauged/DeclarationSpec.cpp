#include "DeclarationSpec.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace fescuegauge {

namespace json = boost::json;

namespace {

/// The key of a duration in a specification and in the canonical text of a declaration.
struct DurationKey {
  std::string_view m_Spec;
  std::string_view m_Canonical;
};
constexpr std::array<DurationKey, 3> DurationKeys{{{"answerWithinMs", "answerWithin"},
                                                   {"firstTokenWithinMs", "firstTokenWithin"},
                                                   {"staleAfterMs", "staleAfter"}}};

void durationsToCanonical(json::object &Object) {
  for (const DurationKey &Key : DurationKeys) {
    const json::value *Found = Object.if_contains(Key.m_Spec);
    if (!Found || !Found->is_int64())
      continue;
    std::string Text = std::to_string(Found->as_int64()) + "ms";
    Object.erase(Key.m_Spec);
    Object[Key.m_Canonical] = Text;
  }
}

void durationsToSpec(json::object &Object) {
  for (const DurationKey &Key : DurationKeys) {
    const json::value *Found = Object.if_contains(Key.m_Canonical);
    if (!Found || !Found->is_string())
      continue;
    auto Parsed = parseDuration(std::string_view(Found->as_string()));
    Object.erase(Key.m_Canonical);
    if (Parsed)
      Object[Key.m_Spec] = Parsed->count() / 1000;
  }
}

void renameKey(json::object &Object, std::string_view From, std::string_view To) {
  const json::value *Found = Object.if_contains(From);
  if (!Found)
    return;
  json::value Value = *Found;
  Object.erase(From);
  Object[To] = std::move(Value);
}

} // namespace

std::string operatorName(const DeclarationName &Name) {
  std::string Text = Name.str();
  std::replace(Text.begin(), Text.end(), '/', '.');
  return Text;
}

DeclarationSpec toSpec(const Declaration &Declared) {
  json::object Object = json::parse(encodeDeclaration(Declared)).as_object();
  DeclarationSpec Result;
  Result.m_Kind = std::string(Object.at("kind").as_string());
  Object.erase("kind");
  Object.erase("manifestRoot");
  Object.erase("holdClass");
  if (const json::value *Minimum = Object.if_contains("minimumServing");
      Minimum && Minimum->to_number<std::uint64_t>() == RolloutDeclaration().m_MinimumServing)
    Object.erase("minimumServing");
  renameKey(Object, "holdPromise", "promise");
  durationsToSpec(Object);
  Result.m_Spec = std::move(Object);
  return Result;
}

ParsedDeclarations parseSpec(const DeclarationSpec &Spec, const Digest &ManifestRoot) {
  json::object Object = Spec.m_Spec;
  Object["kind"] = Spec.m_Kind;
  durationsToCanonical(Object);
  if (Spec.m_Kind == "rollout")
    Object["manifestRoot"] = ManifestRoot.hex();
  if (Spec.m_Kind == "move") {
    renameKey(Object, "promise", "holdPromise");
    if (const json::value *Class = Object.if_contains("class"))
      Object["holdClass"] = *Class;
  }
  return parseDeclaration(json::serialize(Object), "spec");
}

} // namespace fescuegauge
