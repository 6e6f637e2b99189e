#include "Fescuegauge/Digest.h"

#include <openssl/evp.h>
#include <stdexcept>

namespace fescuegauge {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";

int hexValue(char Character) {
  if (Character >= '0' && Character <= '9')
    return Character - '0';
  if (Character >= 'a' && Character <= 'f')
    return Character - 'a' + 10;
  if (Character >= 'A' && Character <= 'F')
    return Character - 'A' + 10;
  return -1;
}

std::span<const std::uint8_t> asBytes(std::string_view Text) {
  return {reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()};
}

} // namespace

std::optional<Digest> Digest::fromHex(std::string_view Text) {
  if (Text.size() != 2 * Size)
    return std::nullopt;
  std::array<std::uint8_t, Size> Value{};
  for (std::size_t I = 0; I < Size; ++I) {
    int High = hexValue(Text[2 * I]);
    int Low = hexValue(Text[2 * I + 1]);
    if (High < 0 || Low < 0)
      return std::nullopt;
    Value[I] = static_cast<std::uint8_t>(High * 16 + Low);
  }
  return Digest(Value);
}

std::string Digest::hex() const {
  std::string Text;
  Text.reserve(2 * Size);
  for (std::uint8_t Byte : m_Value) {
    Text.push_back(HexDigits[Byte >> 4]);
    Text.push_back(HexDigits[Byte & 15]);
  }
  return Text;
}

struct DigestBuilder::Context {
  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> m_Handle{EVP_MD_CTX_new(),
                                                                   &EVP_MD_CTX_free};
};

DigestBuilder::DigestBuilder() : m_Context(std::make_unique<Context>()) {
  if (!m_Context->m_Handle ||
      EVP_DigestInit_ex(m_Context->m_Handle.get(), EVP_sha256(), nullptr) != 1)
    throw std::runtime_error("SHA-256 is not available in the OpenSSL library");
}

DigestBuilder::~DigestBuilder() = default;

void DigestBuilder::update(std::span<const std::uint8_t> Data) {
  EVP_DigestUpdate(m_Context->m_Handle.get(), Data.data(), Data.size());
}

void DigestBuilder::update(std::string_view Text) { update(asBytes(Text)); }

Digest DigestBuilder::finish() {
  std::array<std::uint8_t, Digest::Size> Value{};
  EVP_DigestFinal_ex(m_Context->m_Handle.get(), Value.data(), nullptr);
  return Digest(Value);
}

Digest sha256(std::span<const std::uint8_t> Data) {
  DigestBuilder Builder;
  Builder.update(Data);
  return Builder.finish();
}

Digest sha256(std::string_view Text) { return sha256(asBytes(Text)); }

} // namespace fescuegauge
