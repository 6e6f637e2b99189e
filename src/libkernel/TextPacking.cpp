#include "Fescuegauge/TextPacking.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <array>
#include <sstream>

namespace fescuegauge {

std::string packText(const std::string &Text) {
  constexpr int FastestLevel = 1;
  std::ostringstream Packed;
  Poco::DeflatingOutputStream Stream(Packed, Poco::DeflatingStreamBuf::STREAM_ZLIB, FastestLevel);
  Stream << Text;
  Stream.close();
  return Packed.str();
}

std::optional<std::string> unpackText(const std::string &Packed, std::size_t MaxBytes) {
  // Empty input would not raise an error: the stream reads the first byte of the format before
  // exceptions are enabled.
  if (Packed.empty())
    return std::nullopt;
  std::istringstream Source(Packed);
  std::string Text;
  try {
    Poco::InflatingInputStream Stream(Source, Poco::InflatingStreamBuf::STREAM_ZLIB);
    Stream.exceptions(std::ios::badbit);
    std::array<char, 16384> Part;
    while (Stream.read(Part.data(), Part.size()) || Stream.gcount() > 0) {
      Text.append(Part.data(), static_cast<std::size_t>(Stream.gcount()));
      if (Text.size() > MaxBytes)
        return std::nullopt;
    }
  } catch (const Poco::Exception &) {
    return std::nullopt;
  } catch (const std::ios::failure &) {
    return std::nullopt;
  }
  return Text;
}

} // namespace fescuegauge
