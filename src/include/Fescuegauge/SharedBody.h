#ifndef FESCUEGAUGE_SHAREDBODY_H
#define FESCUEGAUGE_SHAREDBODY_H

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fescuegauge {

/// Bytes of a request body in the order of arrival, in segments. Appending moves no earlier bytes,
/// and the capacity exceeds the size by at most the size itself and MaxSegmentBytes.
class BodyBytes {
public:
  /// Below the size from which the allocator maps each block on its own.
  static constexpr std::size_t MaxSegmentBytes = 64 << 10;

  void append(std::string_view Bytes);
  std::size_t size() const { return m_Size; }
  /// Allocated bytes.
  std::size_t capacity() const { return m_Capacity; }
  const std::vector<std::string> &segments() const { return m_Segments; }

private:
  std::vector<std::string> m_Segments;
  std::size_t m_Size = 0;
  std::size_t m_Capacity = 0;
};

/// Body type of Boost.Beast whose copies share the bytes, so that a request is held once, however
/// many upstreams it is sent to.
struct SharedBody {
  /// Null for an empty body.
  using value_type = std::shared_ptr<BodyBytes>;

  static std::uint64_t size(const value_type &Body) { return Body ? Body->size() : 0; }

  class Reader {
  public:
    template <bool IsRequest, class Fields>
    Reader(boost::beast::http::header<IsRequest, Fields> &, value_type &Body) : m_Body(Body) {}

    /// The announced length is not used: memory is allocated for what has arrived.
    void init(const boost::optional<std::uint64_t> &, boost::beast::error_code &Error) {
      Error = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers &Bytes, boost::beast::error_code &Error) {
      Error = {};
      std::size_t Count = 0;
      for (const auto Each : boost::beast::buffers_range_ref(Bytes)) {
        if (!m_Body)
          m_Body = std::make_shared<BodyBytes>();
        m_Body->append({static_cast<const char *>(Each.data()), Each.size()});
        Count += Each.size();
      }
      return Count;
    }
    void finish(boost::beast::error_code &Error) { Error = {}; }

  private:
    value_type &m_Body;
  };

  class Writer {
  public:
    using const_buffers_type = boost::asio::const_buffer;

    template <bool IsRequest, class Fields>
    Writer(const boost::beast::http::header<IsRequest, Fields> &, const value_type &Body)
        : m_Body(Body) {}

    void init(boost::beast::error_code &Error) { Error = {}; }
    boost::optional<std::pair<const_buffers_type, bool>> get(boost::beast::error_code &Error) {
      Error = {};
      if (!m_Body || m_Next == m_Body->segments().size())
        return boost::none;
      const std::string &Segment = m_Body->segments()[m_Next++];
      return std::pair(const_buffers_type(Segment.data(), Segment.size()),
                       m_Next < m_Body->segments().size());
    }

  private:
    const value_type &m_Body;
    std::size_t m_Next = 0;
  };

  /// Names that Boost.Beast requires.
  using reader = Reader;
  using writer = Writer;
};

/// A request of a client.
using ClientRequest = boost::beast::http::request<SharedBody>;

} // namespace fescuegauge

#endif // FESCUEGAUGE_SHAREDBODY_H
