#include "Fescuegauge/Base64.h"

#include <openssl/evp.h>

namespace fescuegauge {

namespace {

constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupLetters = 4;

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  // The library writes a final zero.
  std::string Text((Bytes.size() + GroupBytes - 1) / GroupBytes * GroupLetters + 1, '\0');
  const int Size = ::EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                                     reinterpret_cast<const unsigned char *>(Bytes.data()),
                                     static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Size));
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.size() % GroupLetters != 0)
    return std::nullopt;
  // The library takes padding anywhere for zeros, and passes over white space at both ends.
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() && Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  if (Text.substr(0, Text.size() - Padding).find_first_of("= \t\r\n") != std::string_view::npos)
    return std::nullopt;
  std::string Bytes(Text.size() / GroupLetters * GroupBytes, '\0');
  const int Size = ::EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                                     reinterpret_cast<const unsigned char *>(Text.data()),
                                     static_cast<int>(Text.size()));
  if (Size < 0)
    return std::nullopt;
  Bytes.resize(static_cast<std::size_t>(Size) - Padding);
  return Bytes;
}

} // namespace fescuegauge
