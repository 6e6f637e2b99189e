#ifndef FESCUEGAUGE_FESCUEGAUGED_DECLARATIONSPEC_H
#define FESCUEGAUGE_FESCUEGAUGED_DECLARATIONSPEC_H

#include "Fescuegauge/Declaration.h"

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace fescuegauge {

/// A declaration as operators write it: a kind and a JSON object whose durations are numbers of
/// milliseconds.
struct DeclarationSpec {
  std::string m_Kind;
  boost::json::object m_Spec;
};

/// The name that operators see: an id, so with dots in place of the slashes of `Name`.
std::string operatorName(const DeclarationName &Name);

DeclarationSpec specOf(const Declaration &Declared);

/// Reads a specification; the errors name the keys of the specification. A rollout needs the root
/// digest of its manifest, which operators do not write.
ParsedDeclarations parseSpec(const DeclarationSpec &Spec, const Digest &ManifestRoot);

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_DECLARATIONSPEC_H
