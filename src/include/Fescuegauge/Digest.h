#ifndef FESCUEGAUGE_DIGEST_H
#define FESCUEGAUGE_DIGEST_H

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace fescuegauge {

/// A SHA-256 digest. All zero bytes stand for no digest.
class Digest {
public:
  static constexpr std::size_t Size = 32;

  Digest() = default;
  explicit Digest(const std::array<std::uint8_t, Size> &Value) : m_Value(Value) {}

  /// Parses exactly 64 hexadecimal digits; empty for any other text.
  static std::optional<Digest> fromHex(std::string_view Text);

  std::string hex() const;
  bool isZero() const { return *this == Digest(); }
  const std::array<std::uint8_t, Size> &bytes() const { return m_Value; }
  /// The first eight bytes as a number, for hash tables and rendezvous hashing.
  std::uint64_t prefix() const {
    std::uint64_t Result = 0;
    std::memcpy(&Result, m_Value.data(), sizeof Result);
    return Result;
  }
  auto operator<=>(const Digest &) const = default;

private:
  std::array<std::uint8_t, Size> m_Value{};
};

/// Computes a digest incrementally.
class DigestBuilder {
public:
  DigestBuilder();
  ~DigestBuilder();
  DigestBuilder(const DigestBuilder &) = delete;
  DigestBuilder &operator=(const DigestBuilder &) = delete;

  void update(std::span<const std::uint8_t> Data);
  void update(std::string_view Text);
  /// The digest of all data passed to update(). The builder cannot be used afterwards.
  Digest finish();

private:
  struct Context;
  std::unique_ptr<Context> m_Context;
};

Digest sha256(std::span<const std::uint8_t> Data);
Digest sha256(std::string_view Text);

} // namespace fescuegauge

template <> struct std::hash<fescuegauge::Digest> {
  std::size_t operator()(const fescuegauge::Digest &Value) const noexcept { return Value.prefix(); }
};

#endif // FESCUEGAUGE_DIGEST_H
