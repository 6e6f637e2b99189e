#include "Fescuegauge/Manifest.h"

#include <algorithm>
#include <charconv>

namespace fescuegauge {

namespace {

constexpr std::string_view Header = "fescuegauge-manifest 1";

std::string chunkLine(const ChunkRef &Chunk) {
  return Chunk.m_Digest.hex() + ' ' + std::to_string(Chunk.m_Size.count()) + '\n';
}

std::optional<ChunkRef> parseChunk(std::string_view Line) {
  constexpr std::size_t HexLength = 2 * Digest::Size;
  if (Line.size() < HexLength + 2 || Line[HexLength] != ' ')
    return std::nullopt;
  std::optional<Digest> Parsed = Digest::fromHex(Line.substr(0, HexLength));
  std::string_view Number = Line.substr(HexLength + 1);
  std::uint64_t Size = 0;
  auto [End, Code] = std::from_chars(Number.data(), Number.data() + Number.size(), Size);
  if (!Parsed || Code != std::errc() || End != Number.data() + Number.size() || Size == 0 ||
      Bytes(Size) > Manifest::MaxChunkSize)
    return std::nullopt;
  return ChunkRef{*Parsed, Bytes(Size)};
}

} // namespace

Manifest::Manifest(std::vector<ChunkRef> Chunks)
    : m_Chunks(std::move(Chunks)), m_Root(rootOf(m_Chunks)) {
  for (const ChunkRef &Chunk : m_Chunks)
    m_TotalSize += Chunk.m_Size;
}

Manifest Manifest::ofData(std::span<const std::uint8_t> Data, Bytes ChunkSize) {
  std::vector<ChunkRef> Chunks;
  while (!Data.empty()) {
    auto Piece = Data.first(std::min<std::size_t>(Data.size(), ChunkSize.count()));
    Chunks.push_back({sha256(Piece), Bytes(Piece.size())});
    Data = Data.subspan(Piece.size());
  }
  return Manifest(std::move(Chunks));
}

Digest Manifest::rootOf(std::span<const ChunkRef> Chunks) {
  DigestBuilder Builder;
  Builder.update(Header);
  Builder.update("\n");
  for (const ChunkRef &Chunk : Chunks)
    Builder.update(chunkLine(Chunk));
  return Builder.finish();
}

std::vector<std::uint32_t> Manifest::missing(const std::unordered_set<Digest> &Held) const {
  std::vector<std::uint32_t> Result;
  std::unordered_set<Digest> Seen;
  for (std::uint32_t I = 0; I < m_Chunks.size(); ++I)
    if (!Held.contains(m_Chunks[I].m_Digest) && Seen.insert(m_Chunks[I].m_Digest).second)
      Result.push_back(I);
  return Result;
}

Bytes Manifest::missingSize(const std::unordered_set<Digest> &Held) const {
  Bytes Result;
  for (std::uint32_t Index : missing(Held))
    Result += m_Chunks[Index].m_Size;
  return Result;
}

std::string Manifest::encode() const {
  std::string Text(Header);
  Text += "\nroot " + m_Root.hex() + '\n';
  for (const ChunkRef &Chunk : m_Chunks)
    Text += chunkLine(Chunk);
  return Text;
}

std::optional<Manifest> Manifest::parse(std::string_view Text, std::string *Error) {
  auto Fail = [&](std::size_t Line, std::string_view Reason) -> std::optional<Manifest> {
    if (Error)
      *Error = "manifest line " + std::to_string(Line) + ": " + std::string(Reason);
    return std::nullopt;
  };
  std::size_t Line = 0;
  auto Next = [&]() -> std::optional<std::string_view> {
    std::size_t End = Text.find('\n');
    if (End == std::string_view::npos)
      return std::nullopt;
    std::string_view Result = Text.substr(0, End);
    Text.remove_prefix(End + 1);
    ++Line;
    return Result;
  };
  if (Next() != Header)
    return Fail(1, "expected \"" + std::string(Header) + '"');
  std::optional<std::string_view> RootLine = Next();
  std::optional<Digest> Root;
  if (RootLine && RootLine->starts_with("root "))
    Root = Digest::fromHex(RootLine->substr(5));
  if (!Root)
    return Fail(2, "expected \"root\" and a SHA-256 digest");
  std::vector<ChunkRef> Chunks;
  while (std::optional<std::string_view> Row = Next()) {
    std::optional<ChunkRef> Chunk = parseChunk(*Row);
    if (!Chunk)
      return Fail(Line, "expected a SHA-256 digest and a size from 1 byte to 32 MiB");
    if (Chunks.size() == MaxChunks)
      return Fail(Line, "more than 65536 chunks");
    Chunks.push_back(*Chunk);
  }
  if (!Text.empty())
    return Fail(Line + 1, "the last line is incomplete");
  Manifest Result(std::move(Chunks));
  if (Result.rootDigest() != *Root)
    return Fail(2, "the chunks do not hash to the root digest");
  return Result;
}

} // namespace fescuegauge
