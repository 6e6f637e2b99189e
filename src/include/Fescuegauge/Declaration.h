#ifndef FESCUEGAUGE_DECLARATION_H
#define FESCUEGAUGE_DECLARATION_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Request.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fescuegauge {

/// Derived from a declaration's fields, for example "target/pedidos/confirmation"; a declaration
/// replaces an earlier one of the same name.
using DeclarationName = StrongId<struct DeclarationNameTag>;

/// `{"kind": "service", "service": "pedidos", "initialGeneration": "old"}`
///
/// The generation that runs an account's non-idempotent work as long as it has no owner row.
struct ServiceDeclaration {
  ServiceId m_Service;
  GenerationId m_InitialGeneration;
};

/// `{"kind": "target", "service": "asistente", "class": "quotation", "answerWithin": "2s"}`
///
/// The service-level targets of one work class of a service.
struct TargetDeclaration {
  ServiceId m_Service;
  ClassTarget m_Target;
};

enum class RolloutPreference { OriginBytes, Time };

/// `{"kind": "rollout", "service": "asistente", "version": "2026-02", "manifestRoot": "...",
/// "prefer": "origin-bytes", "minimumServing": 7}`
///
/// The model version that the service's upstreams should serve.
struct RolloutDeclaration {
  ServiceId m_Service;
  /// Empty if the rollout applies to the upstreams of all generations.
  GenerationId m_Generation;
  ModelVersionId m_Version;
  Digest m_ManifestRoot;
  RolloutPreference m_Prefer = RolloutPreference::OriginBytes;
  /// Minimum number of upstreams that keep serving while others load.
  std::uint32_t m_MinimumServing = 1;
};

enum class PromiseKind { AnswerWithin, FirstTokenWithin };

/// `{"kind": "move", "service": "pedidos", "class": "confirmation", "from": "old", "to": "new",
/// "holdClass": "confirmation", "holdPromise": "answerWithin"}`
///
/// A work class that should move to another generation as long as the target `holdPromise` of
/// `holdClass` is met there. Contains no traffic share: MoveController decides how many accounts
/// move and when.
struct MoveDeclaration {
  ServiceId m_Service;
  WorkClassId m_Class;
  GenerationId m_From;
  GenerationId m_To;
  WorkClassId m_HoldClass;
  PromiseKind m_HoldPromise = PromiseKind::AnswerWithin;
};

using Declaration =
    std::variant<ServiceDeclaration, TargetDeclaration, RolloutDeclaration, MoveDeclaration>;

DeclarationName declarationName(const Declaration &Declared);

/// One error in a declaration text, for example path "declarations[2].answerWithin" and message
/// "expected a duration such as \"2s\" or \"310ms\"".
struct DeclarationError {
  std::string m_Path;
  std::string m_Message;

  /// "PATH: MESSAGE".
  std::string text() const { return m_Path + ": " + m_Message; }
};

struct ParsedDeclarations {
  std::vector<Declaration> m_Declarations;
  /// All errors in the text; if there are any, the declarations must not be used.
  std::vector<DeclarationError> m_Errors;
};

/// Maximum length of the canonical text of one declaration.
constexpr std::size_t MaxDeclarationBytes = 2048;

/// Parses a JSON array of declarations; `//` and `/* */` comments are allowed.
ParsedDeclarations parseDeclarations(std::string_view Text);

/// Parses one JSON object; `Path` is the prefix of error paths.
ParsedDeclarations parseDeclaration(std::string_view Text, std::string_view Path = "declaration");

/// Returns the canonical JSON text of a declaration: fixed key order, no white space, defaults
/// omitted. Equal declarations have equal texts; digests are computed over this text.
std::string encodeDeclaration(const Declaration &Declared);

/// Parses an integer with one of the units us, ms, s, m and h, such as "310ms"; returns nullopt
/// for any other text.
std::optional<Duration> parseDuration(std::string_view Text);

/// Inverse of parseDuration(); uses the largest unit that divides the value.
std::string formatDuration(Duration Value);

} // namespace fescuegauge

#endif // FESCUEGAUGE_DECLARATION_H
