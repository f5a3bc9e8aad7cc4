#ifndef TEASELHITCH_LIB_NET_HTTP_H
#define TEASELHITCH_LIB_NET_HTTP_H

/// \file
/// Conversion between Beast messages and the project's HTTP types.

#include "teaselhitch/Model/Messages.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional/optional.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace teaselhitch {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Beast body that sends shared bytes without a copy.
struct SharedBytesBody {
  using value_type = SharedBytes;

  static std::uint64_t size(const value_type &Bytes) { return Bytes.size(); }

  class writer { // NOLINT(readability-identifier-naming): required name
  public:
    using const_buffers_type = boost::asio::const_buffer;

    template <bool IsRequest, typename FieldsT>
    writer(const http::header<IsRequest, FieldsT> &, const value_type &Bytes)
        : Bytes(Bytes) {}

    void init(boost::beast::error_code &EC) { EC = {}; }

    boost::optional<std::pair<const_buffers_type, bool>>
    get(boost::beast::error_code &EC) {
      EC = {};
      return std::make_pair(
          const_buffers_type(Bytes.str().data(), Bytes.size()), false);
    }

  private:
    const value_type &Bytes;
  };
};

/// Beast body of a request that is being received. Unlike string_body, it does
/// not reserve what the caller announces.
struct ReceivedBody {
  using value_type = std::string;

  static std::uint64_t size(const value_type &Body) { return Body.size(); }

  class reader { // NOLINT(readability-identifier-naming): required name
  public:
    template <bool IsRequest, typename FieldsT>
    reader(http::header<IsRequest, FieldsT> &, value_type &Body) : Body(Body) {}

    void init(const boost::optional<std::uint64_t> &,
              boost::beast::error_code &EC) {
      EC = {};
    }

    template <typename BuffersT>
    std::size_t put(const BuffersT &Buffers, boost::beast::error_code &EC) {
      EC = {};
      std::size_t Count = 0;
      for (auto Buffer : beast::buffers_range_ref(Buffers)) {
        Body.append(static_cast<const char *>(Buffer.data()), Buffer.size());
        Count += Buffer.size();
      }
      return Count;
    }

    void finish(boost::beast::error_code &EC) { EC = {}; }

  private:
    value_type &Body;
  };
};

/// True for headers that apply to a single connection and are not forwarded.
bool isHopByHop(boost::beast::string_view Name);

/// \param Held accounts for the body.
HttpRequest toRequest(http::request<ReceivedBody> &&Message,
                      MemoryBudget::Reservation Held);
/// \param Held accounts for the body.
HttpAnswer toAnswer(http::response<http::string_body> &&Message,
                    MemoryBudget::Reservation Held);

/// Drops the hop-by-hop headers. Host is set to Authority unless the request
/// has a Host header of its own.
http::request<SharedBytesBody> fromRequest(HttpRequest &&Request,
                                           const std::string &Authority);
/// \param IsHead the answer is to a HEAD request: it has the header of the
/// answer to GET, but no body.
http::response<SharedBytesBody> fromAnswer(HttpAnswer &&Answer, bool KeepAlive,
                                           bool IsHead);

} // namespace teaselhitch

#endif
