#ifndef FESCUEGAUGE_BYTECODEC_H
#define FESCUEGAUGE_BYTECODEC_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fescuegauge {

/// Appends values to a byte string: numbers as base-128 varints, texts with their length first.
class ByteWriter {
public:
  void number(std::uint64_t Value) {
    for (; Value >= 0x80; Value >>= 7)
      m_Bytes.push_back(static_cast<char>(Value | 0x80));
    m_Bytes.push_back(static_cast<char>(Value));
  }
  void fixed64(std::uint64_t Value) {
    for (int Shift = 0; Shift < 64; Shift += 8)
      m_Bytes.push_back(static_cast<char>(Value >> Shift));
  }
  void text(std::string_view Value) {
    number(Value.size());
    m_Bytes.append(Value);
  }
  template <typename Tag> void id(const StrongId<Tag> &Value) { text(Value.str()); }
  template <typename Tag> void id(StrongNumber<Tag> Value) { number(Value.value()); }
  void digest(const Digest &Value) {
    m_Bytes.append(reinterpret_cast<const char *>(Value.bytes().data()), Digest::Size);
  }
  std::string take() { return std::move(m_Bytes); }
  std::size_t size() const { return m_Bytes.size(); }

private:
  std::string m_Bytes;
};

/// Reads what ByteWriter wrote. After a read past the end or a malformed value every further read
/// gives zero or empty and failed() is true; the caller checks once, at the end.
class ByteReader {
public:
  explicit ByteReader(std::string_view Bytes) : m_Bytes(Bytes) {}

  std::uint64_t number() {
    std::uint64_t Value = 0;
    for (int Shift = 0; Shift < 64; Shift += 7) {
      if (m_Bytes.empty())
        break;
      auto Byte = static_cast<std::uint8_t>(m_Bytes.front());
      m_Bytes.remove_prefix(1);
      Value |= static_cast<std::uint64_t>(Byte & 0x7f) << Shift;
      if (!(Byte & 0x80))
        return Value;
    }
    return fail(), 0;
  }
  std::uint64_t fixed64() {
    std::string_view Part = take(8);
    std::uint64_t Value = 0;
    for (std::size_t Index = 0; Index < Part.size(); ++Index)
      Value |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(Part[Index])) << (8 * Index);
    return Value;
  }
  std::string text() { return std::string(take(number())); }
  template <typename Id> Id id() {
    if constexpr (requires(Id Value) { Value.str(); })
      return Id(text());
    else
      return Id(number());
  }
  Digest digest() {
    std::string_view Part = take(Digest::Size);
    std::array<std::uint8_t, Digest::Size> Value{};
    if (Part.size() == Digest::Size)
      std::memcpy(Value.data(), Part.data(), Digest::Size);
    return Digest(Value);
  }
  /// A count of elements; fails when the rest cannot hold that many of at least `LeastBytes` each,
  /// so that a forged count cannot make the reader allocate.
  std::size_t count(std::size_t LeastBytes) {
    std::uint64_t Value = number();
    if (Value > m_Bytes.size() / LeastBytes)
      return fail(), 0;
    return Value;
  }
  bool atEnd() const { return m_Bytes.empty(); }
  bool failed() const { return m_Failed; }
  void fail() {
    m_Failed = true;
    m_Bytes = {};
  }

private:
  std::string_view take(std::uint64_t Length) {
    if (Length > m_Bytes.size())
      return fail(), std::string_view();
    std::string_view Part = m_Bytes.substr(0, Length);
    m_Bytes.remove_prefix(Length);
    return Part;
  }

  std::string_view m_Bytes;
  bool m_Failed = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_BYTECODEC_H
