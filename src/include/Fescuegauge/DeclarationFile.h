#ifndef FESCUEGAUGE_DECLARATIONFILE_H
#define FESCUEGAUGE_DECLARATIONFILE_H

#include "Fescuegauge/Settings.h"

#include <boost/json/object.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// One declaration as operators write it and as the operators' HTTP interface carries it.
struct DeclarationText {
  /// Derived from the spec: the kind and the ids that the declaration concerns, joined by dots, for
  /// example "target.asistente.quotation".
  std::string m_Name;
  /// "target", "rollout", "service" or "move".
  std::string m_Kind;
  boost::json::object m_Spec;
};

/// All errors of a declaration file; the LEAF error object of the functions below.
struct DeclarationErrors {
  std::vector<SettingsError> m_Errors;
};

/// Reads `{"declarations": [{"name", "kind", "spec"}]}`: JSON with `//` and `/* */`
/// comments.
boost::leaf::result<std::vector<DeclarationText>> parseDeclarationFile(std::string_view Text,
                                                                       std::string_view FileName);

/// Reads a file of at most 1 MiB.
boost::leaf::result<std::vector<DeclarationText>> loadDeclarationFile(const std::string &FileName);

/// Validates one declaration and returns its errors, each as "KEY: MESSAGE"; empty if it is valid.
/// Weights, shares and addresses are refused, because the system derives them from targets.
std::vector<std::string> validateDeclaration(const DeclarationText &Declared);

/// A Markdown section that describes the kinds of declarations and their keys.
std::string declarationReference();

/// Maximum number of declarations in one file.
constexpr std::size_t MaxDeclarations = 2000;

} // namespace fescuegauge

#endif // FESCUEGAUGE_DECLARATIONFILE_H
