#include "Fescuegauge/Base64.h"

#include <openssl/evp.h>

namespace fescuegauge {

namespace {

constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupCharacters = 4;

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  // EVP_EncodeBlock() appends a terminating zero.
  std::string Text((Bytes.size() + GroupBytes - 1) / GroupBytes * GroupCharacters + 1, '\0');
  const int Size = ::EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                                     reinterpret_cast<const unsigned char *>(Bytes.data()),
                                     static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Size));
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.size() % GroupCharacters != 0)
    return std::nullopt;
  // EVP_DecodeBlock() reads padding anywhere as zeros and skips white space at both ends, so both
  // are refused here.
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() && Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  if (Text.substr(0, Text.size() - Padding).find_first_of("= \t\r\n") != std::string_view::npos)
    return std::nullopt;
  std::string Bytes(Text.size() / GroupCharacters * GroupBytes, '\0');
  const int Size = ::EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                                     reinterpret_cast<const unsigned char *>(Text.data()),
                                     static_cast<int>(Text.size()));
  if (Size < 0)
    return std::nullopt;
  Bytes.resize(static_cast<std::size_t>(Size) - Padding);
  return Bytes;
}

} // namespace fescuegauge
