#ifndef FESCUEGAUGE_FESCUEGAUGED_DECLARATIONSPEC_H
#define FESCUEGAUGE_FESCUEGAUGED_DECLARATIONSPEC_H

#include "Fescuegauge/Declaration.h"

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace fescuegauge {

/// A declaration in the form that operators use: a kind and a JSON object whose durations are
/// numbers of milliseconds.
struct DeclarationSpec {
  std::string m_Kind;
  boost::json::object m_Spec;
};

/// Returns the name in the operators' interface, in which dots replace the slashes of `Name`.
std::string operatorName(const DeclarationName &Name);

/// Converts a declaration to its specification.
DeclarationSpec toSpec(const Declaration &Declared);

/// Parses a specification. Errors refer to keys of the specification. `ManifestRoot` is the root
/// digest of a rollout's manifest, which a specification does not contain.
ParsedDeclarations parseSpec(const DeclarationSpec &Spec, const Digest &ManifestRoot);

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_DECLARATIONSPEC_H
