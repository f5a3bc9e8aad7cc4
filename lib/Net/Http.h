#ifndef TEASELHITCH_LIB_NET_HTTP_H
#define TEASELHITCH_LIB_NET_HTTP_H

/// \file
/// Conversion between Beast messages and the project's HTTP types.

#include "teaselhitch/Model/Messages.h"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace teaselhitch {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// True for headers that apply to a single connection and are not forwarded.
bool isHopByHop(boost::beast::string_view Name);

/// The body of a request that is being received. Unlike string_body, it does
/// not reserve what the caller announces.
struct ReceivedBody {
  using value_type = std::string;

  static std::uint64_t size(const value_type &Body) { return Body.size(); }

  class reader {
  public:
    template <bool IsRequest, typename FieldsT>
    reader(http::header<IsRequest, FieldsT> &, value_type &Body) : Body(Body) {}

    void init(const boost::optional<std::uint64_t> &,
              boost::system::error_code &EC) {
      EC = {};
    }

    template <typename BuffersT>
    std::size_t put(const BuffersT &Buffers, boost::system::error_code &EC) {
      EC = {};
      std::size_t Count = 0;
      for (auto Buffer : beast::buffers_range_ref(Buffers)) {
        Body.append(static_cast<const char *>(Buffer.data()), Buffer.size());
        Count += Buffer.size();
      }
      return Count;
    }

    void finish(boost::system::error_code &EC) { EC = {}; }

  private:
    value_type &Body;
  };
};

HttpRequest toRequest(http::request<ReceivedBody> &&Message);
HttpAnswer toAnswer(http::response<http::string_body> &&Message);

/// Drops the hop-by-hop headers. Host is set to Authority unless the request
/// has a Host header of its own.
http::request<http::string_body> fromRequest(HttpRequest &&Request,
                                             const std::string &Authority);
/// \param IsHead the answer is to a HEAD request: it has the header of the
/// answer to GET, but no body.
http::response<http::string_body> fromAnswer(HttpAnswer &&Answer,
                                             bool KeepAlive, bool IsHead);

} // namespace teaselhitch

#endif
