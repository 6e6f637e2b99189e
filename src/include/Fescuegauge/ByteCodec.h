#ifndef FESCUEGAUGE_BYTECODEC_H
#define FESCUEGAUGE_BYTECODEC_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fescuegauge {

/// Appends values to a byte string in the encoding of Protocol Buffers' coded streams: numbers as
/// base-128 varints, texts as their length followed by their bytes.
class ByteWriter {
public:
  void number(std::uint64_t Value);
  void fixed64(std::uint64_t Value);
  void text(std::string_view Value);
  template <typename Tag> void id(const StrongId<Tag> &Value) { text(Value.str()); }
  template <typename Tag> void id(StrongNumber<Tag> Value) { number(Value.value()); }
  void digest(const Digest &Value);
  std::string take() { return std::move(m_Bytes); }
  std::size_t size() const { return m_Bytes.size(); }

private:
  std::string m_Bytes;
};

/// Reads what ByteWriter wrote. After a read past the end or a malformed value, failed() is true
/// and every further read returns zero or an empty value, so the caller checks once, at the end.
class ByteReader {
public:
  explicit ByteReader(std::string_view Bytes) : m_Bytes(Bytes) {}

  std::uint64_t number();
  std::uint64_t fixed64();
  std::string text() { return std::string(take(number())); }
  template <typename Id> Id id() {
    if constexpr (requires(Id Value) { Value.str(); })
      return Id(text());
    else
      return Id(number());
  }
  Digest digest();
  /// Reads a number of elements. Fails if the remaining bytes cannot hold that many elements of at
  /// least `MinElementBytes` each, so that a forged count cannot cause a large allocation.
  std::size_t count(std::size_t MinElementBytes);
  bool atEnd() const { return m_Bytes.empty(); }
  bool failed() const { return m_Failed; }
  void fail() {
    m_Failed = true;
    m_Bytes = {};
  }

private:
  std::string_view take(std::uint64_t Length);

  std::string_view m_Bytes;
  bool m_Failed = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_BYTECODEC_H
