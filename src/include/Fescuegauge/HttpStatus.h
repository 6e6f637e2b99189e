#ifndef FESCUEGAUGE_HTTPSTATUS_H
#define FESCUEGAUGE_HTTPSTATUS_H

namespace fescuegauge {

/// What the status code of a response says of it.
enum class StatusKind {
  /// A response to the same request follows (1xx).
  Interim,
  Final,
  /// Not a response: a code outside 100 to 599 has no meaning (RFC 9110, section 15), and 101
  /// changes to a protocol that was not requested.
  Invalid,
};

constexpr StatusKind statusKind(int Code) {
  constexpr int FirstInterim = 100;
  constexpr int SwitchingProtocols = 101;
  constexpr int FirstFinal = 200;
  constexpr int LastFinal = 599;
  if (Code < FirstInterim || Code > LastFinal || Code == SwitchingProtocols)
    return StatusKind::Invalid;
  return Code < FirstFinal ? StatusKind::Interim : StatusKind::Final;
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_HTTPSTATUS_H
