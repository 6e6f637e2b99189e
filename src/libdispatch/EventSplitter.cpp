#include "Fescuegauge/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace fescuegauge {

namespace {

std::optional<std::uint64_t> idOf(std::string_view Event) {
  while (!Event.empty()) {
    const std::size_t End = Event.find('\n');
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(End == std::string_view::npos ? Event.size() : End + 1);
    if (!Line.starts_with("id:"))
      continue;
    Line.remove_prefix(3);
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    std::uint64_t Id = 0;
    auto [Rest, Error] = std::from_chars(Line.data(), Line.data() + Line.size(), Id);
    if (Error == std::errc())
      return Id;
  }
  return std::nullopt;
}

/// The length of the first event with its empty line; npos if it is incomplete.
std::size_t firstEventEnd(std::string_view Bytes) {
  constexpr std::string_view BlankLine = "\n\n";
  constexpr std::string_view CrLfBlankLine = "\r\n\r\n";
  const std::size_t BlankLineAt = Bytes.find(BlankLine);
  const std::size_t CrLfBlankLineAt = Bytes.find(CrLfBlankLine);
  if (BlankLineAt == std::string_view::npos && CrLfBlankLineAt == std::string_view::npos)
    return std::string_view::npos;
  return CrLfBlankLineAt < BlankLineAt ? CrLfBlankLineAt + CrLfBlankLine.size()
                                       : BlankLineAt + BlankLine.size();
}

} // namespace

void EventSplitter::append(std::string_view Bytes) {
  m_Pending += Bytes;
  m_IsOverlong =
      m_Pending.size() > MaxEventBytes && firstEventEnd(m_Pending) == std::string_view::npos;
}

std::optional<EventSplitter::Event> EventSplitter::next() {
  const std::size_t End = firstEventEnd(m_Pending);
  if (End == std::string::npos)
    return std::nullopt;
  Event Result;
  Result.m_Bytes = m_Pending.substr(0, End);
  Result.m_Id = idOf(Result.m_Bytes);
  m_Pending.erase(0, End);
  return Result;
}

} // namespace fescuegauge
