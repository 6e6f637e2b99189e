#ifndef FESCUEGAUGE_HTTPPARSER_H
#define FESCUEGAUGE_HTTPPARSER_H

#include "Fescuegauge/AsioTypes.h"
#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/HttpStatus.h"

#include <boost/beast/http/parser.hpp>
#include <cstddef>

namespace fescuegauge {

/// Limits on the fields of an HTTP message, for all readers; a reader may set a lower limit on the
/// header with header_limit(). A message that exceeds one fails with http::error::header_limit.
struct HttpFieldLimits {
  /// Maximum size of a field's name, and of its value. For longer ones the containers of
  /// Boost.Beast throw instead of returning an error.
  static constexpr std::size_t MaxPartBytes = 65'533;
  /// Maximum total size of the trailer fields. The header limit of Boost.Beast excludes them.
  static constexpr std::size_t MaxTrailerBytes = 64 << 10;
};

/// Parser for all HTTP messages that this process receives.
///
/// An exception thrown by a parser leaves the composed read operation, where no coroutine can catch
/// it. Therefore every limit is checked here and reported as an error code. A response with an
/// invalid status code fails with http::error::bad_status, and a folded field with
/// http::error::bad_obs_fold. Trailer fields are discarded: they must not be merged into the header
/// (RFC 9110, section 6.5.1).
template <bool IsRequest, class Body>
class HttpParser : public boost::beast::http::parser<IsRequest, Body> {
public:
  /// Memory of a field beside its text: each field is an allocation of its own.
  static constexpr std::size_t FieldBytes = 96;

  /// Memory of the header fields that have been parsed, also of an incomplete header.
  std::size_t headerMemory() const { return m_HeaderMemory; }

private:
  void on_field_impl(boost::beast::http::field Name, boost::beast::string_view NameText,
                     boost::beast::string_view Value, boost::beast::error_code &Error) override {
    constexpr std::size_t MaxPartBytes = HttpFieldLimits::MaxPartBytes;
    if (isFolded(NameText, Value)) {
      Error = boost::beast::http::error::bad_obs_fold;
      return;
    }
    if (this->is_header_done())
      m_TrailerBytes += NameText.size() + Value.size();
    if (NameText.size() > MaxPartBytes || Value.size() > MaxPartBytes ||
        m_TrailerBytes > HttpFieldLimits::MaxTrailerBytes) {
      Error = boost::beast::http::error::header_limit;
      return;
    }
    if (!this->is_header_done()) {
      m_HeaderMemory += FieldBytes + NameText.size() + Value.size();
      this->get().insert(Name, NameText, Value);
    }
  }

  /// Whether the field extends over several lines. A line that begins with a blank cannot be
  /// distinguished from a field whose name does, and RFC 9112, section 5.2, allows recipients to
  /// reject it. `Name` refers to the received bytes. Boost.Beast joins the lines of a folded value
  /// elsewhere or skips a first line that is empty; the value then does not begin after the colon.
  static bool isFolded(boost::beast::string_view Name, boost::beast::string_view Value) {
    const char *Begin = Name.data() + Name.size() + 1;
    while (*Begin == ' ' || *Begin == '\t')
      ++Begin;
    return Value.data() != Begin;
  }

  void on_response_impl(int Code, boost::beast::string_view Reason, int Version,
                        boost::beast::error_code &Error) override {
    if constexpr (!IsRequest) {
      if (statusKind(Code) == StatusKind::Invalid) {
        Error = boost::beast::http::error::bad_status;
        return;
      }
      this->get().result(static_cast<unsigned>(Code));
      this->get().version(static_cast<unsigned>(Version));
      this->get().reason(Reason);
    }
  }

  std::size_t m_TrailerBytes = 0;
  std::size_t m_HeaderMemory = 0;
};

template <class Body> using HttpRequestParser = HttpParser<true, Body>;
template <class Body> using HttpResponseParser = HttpParser<false, Body>;

/// Whether a read failed because the received bytes are not a valid message within the limits, and
/// not because the connection ended.
inline bool isMalformedMessage(SystemError Error) {
  namespace http = boost::beast::http;
  return Error.category() == http::make_error_code(http::error::bad_value).category() &&
         Error != http::error::end_of_stream && Error != http::error::partial_message;
}

/// The error to report to the sender of a message for which isMalformedMessage() is true.
inline ErrorKind malformedMessageKind(SystemError Error) {
  namespace http = boost::beast::http;
  if (Error == http::error::header_limit || Error == http::error::buffer_overflow)
    return ErrorKind::HeaderTooLarge;
  if (Error == http::error::body_limit)
    return ErrorKind::RequestTooLarge;
  return ErrorKind::MalformedRequest;
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_HTTPPARSER_H
