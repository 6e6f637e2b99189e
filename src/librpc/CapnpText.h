#ifndef FESCUEGAUGE_LIBRPC_CAPNPTEXT_H
#define FESCUEGAUGE_LIBRPC_CAPNPTEXT_H

#include "Fescuegauge/Digest.h"

#include <algorithm>
#include <capnp/blob.h>
#include <string>

namespace fescuegauge {

// Conversions between Cap'n Proto blobs and the types of the base library.

inline capnp::Data::Reader dataOf(const std::string &Text) {
  return {reinterpret_cast<const kj::byte *>(Text.data()), Text.size()};
}

inline capnp::Data::Reader dataOf(const Digest &Value) {
  return {Value.bytes().data(), Value.bytes().size()};
}

inline std::string stringOf(capnp::Data::Reader Data) {
  return {reinterpret_cast<const char *>(Data.begin()), Data.size()};
}

inline std::string stringOf(capnp::Text::Reader Text) { return {Text.cStr(), Text.size()}; }

/// Returns the zero digest if `Data` does not have the size of a digest.
inline Digest digestOf(capnp::Data::Reader Data) {
  std::array<std::uint8_t, Digest::Size> Value{};
  if (Data.size() == Value.size())
    std::copy(Data.begin(), Data.end(), Value.begin());
  return Digest(Value);
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBRPC_CAPNPTEXT_H
