#ifndef TEASELHITCH_SUPPORT_RESULT_H
#define TEASELHITCH_SUPPORT_RESULT_H

/// \file
/// Error values. Functions that can fail return a Result, which is a
/// boost::leaf::result that carries an Error.

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <compare>
#include <string>
#include <utility>

namespace teaselhitch {

/// What kind of failure an Error reports.
enum class ErrorCode {
  /// The input is malformed or out of range.
  InvalidInput,
  /// The named thing does not exist.
  NotFound,
  /// A conditional write lost against another writer.
  Conflict,
  /// The other side cannot be reached or refused to serve.
  Unavailable,
  /// No answer within the time limit; the operation may have taken effect.
  Timeout,
  /// Data failed an integrity check.
  Corrupt,
  /// A bounded resource is used up.
  Exhausted,
};

/// The stable name of an error code, for logs and JSON output.
const char *errorCodeName(ErrorCode Code);

/// A failure. The message starts in lower case, has no full stop and names
/// the offending value.
struct Error {
  ErrorCode Code = ErrorCode::InvalidInput;
  std::string Message;

  auto operator<=>(const Error &) const = default;
};

template <typename T> using Result = boost::leaf::result<T>;

/// Creates an error to return from a function with a Result.
inline boost::leaf::error_id makeError(ErrorCode Code, std::string Message) {
  return boost::leaf::new_error(Error{Code, std::move(Message)});
}

namespace detail {
template <typename T> struct ResultValue;
template <typename T> struct ResultValue<Result<T>> { using Type = T; };
} // namespace detail

/// Runs Operation, which returns Result<T>, and gives its value, or what
/// Handler returns for its Error. Handler takes a const Error & and returns a
/// value convertible to T.
///
/// An Error is stored only while a handler is active, so call the failing
/// function inside Operation.
template <typename OperationT, typename HandlerT>
auto handleError(OperationT &&Operation, HandlerT &&Handler) {
  using ValueT = typename detail::ResultValue<decltype(Operation())>::Type;
  return boost::leaf::try_handle_all(
      std::forward<OperationT>(Operation),
      [&](const Error &E) -> ValueT { return Handler(E); },
      [&]() -> ValueT {
        return Handler(Error{ErrorCode::InvalidInput, "unspecified error"});
      });
}

} // namespace teaselhitch

#endif
