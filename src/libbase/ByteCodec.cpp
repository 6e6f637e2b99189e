#include "Fescuegauge/ByteCodec.h"

#include <array>
#include <google/protobuf/io/coded_stream.h>

namespace fescuegauge {

using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;

namespace {

constexpr std::size_t MaxVarintBytes = 10;

/// A stream over the unread bytes. Messages are far smaller than the stream's limit of 2 GiB.
CodedInputStream streamOver(std::string_view Bytes) {
  return CodedInputStream(reinterpret_cast<const std::uint8_t *>(Bytes.data()),
                          static_cast<int>(Bytes.size()));
}

} // namespace

void ByteWriter::number(std::uint64_t Value) {
  std::array<std::uint8_t, MaxVarintBytes> Buffer{};
  const std::uint8_t *End = CodedOutputStream::WriteVarint64ToArray(Value, Buffer.data());
  m_Bytes.append(reinterpret_cast<const char *>(Buffer.data()),
                 static_cast<std::size_t>(End - Buffer.data()));
}

void ByteWriter::fixed64(std::uint64_t Value) {
  std::array<std::uint8_t, sizeof Value> Buffer{};
  CodedOutputStream::WriteLittleEndian64ToArray(Value, Buffer.data());
  m_Bytes.append(reinterpret_cast<const char *>(Buffer.data()), Buffer.size());
}

void ByteWriter::text(std::string_view Value) {
  number(Value.size());
  m_Bytes.append(Value);
}

void ByteWriter::digest(const Digest &Value) {
  m_Bytes.append(reinterpret_cast<const char *>(Value.bytes().data()), Digest::Size);
}

std::uint64_t ByteReader::number() {
  CodedInputStream In = streamOver(m_Bytes);
  std::uint64_t Value = 0;
  if (!In.ReadVarint64(&Value)) {
    fail();
    return 0;
  }
  m_Bytes.remove_prefix(static_cast<std::size_t>(In.CurrentPosition()));
  return Value;
}

std::uint64_t ByteReader::fixed64() {
  CodedInputStream In = streamOver(m_Bytes);
  std::uint64_t Value = 0;
  if (!In.ReadLittleEndian64(&Value)) {
    fail();
    return 0;
  }
  m_Bytes.remove_prefix(sizeof Value);
  return Value;
}

Digest ByteReader::digest() {
  std::string_view Part = take(Digest::Size);
  std::array<std::uint8_t, Digest::Size> Value{};
  std::copy(Part.begin(), Part.end(), Value.begin());
  return Digest(Value);
}

std::size_t ByteReader::count(std::size_t MinElementBytes) {
  std::uint64_t Value = number();
  if (Value <= m_Bytes.size() / MinElementBytes)
    return Value;
  fail();
  return 0;
}

std::string_view ByteReader::take(std::uint64_t Length) {
  if (Length > m_Bytes.size()) {
    fail();
    return {};
  }
  std::string_view Part = m_Bytes.substr(0, Length);
  m_Bytes.remove_prefix(Length);
  return Part;
}

} // namespace fescuegauge
