#ifndef TEASELHITCH_SUPPORT_RESULT_H
#define TEASELHITCH_SUPPORT_RESULT_H

/// \file
/// Error handling. A function that can fail returns a Result, which is a
/// boost::leaf::result that carries an Error.

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <compare>
#include <string>
#include <utility>

namespace teaselhitch {

/// The kind of failure that an Error reports.
enum class ErrorCode {
  /// The input is malformed or out of range.
  InvalidInput,
  /// The requested item does not exist.
  NotFound,
  /// A conditional write failed because of a concurrent write.
  Conflict,
  /// The remote side is unreachable or refused the request.
  Unavailable,
  /// No reply arrived within the time limit; the operation may have taken
  /// effect.
  Timeout,
  /// Data failed an integrity check.
  Corrupt,
  /// A bounded resource is exhausted.
  Exhausted,
};

/// Returns the stable name of an error code for logs and JSON output.
const char *errorCodeName(ErrorCode Code);

/// A failure. The message starts in lower case, has no full stop and includes
/// the offending value.
struct Error {
  ErrorCode Code = ErrorCode::InvalidInput;
  std::string Message;

  auto operator<=>(const Error &) const = default;
};

template <typename T> using Result = boost::leaf::result<T>;

/// Creates an error that a function with return type Result can return.
inline boost::leaf::error_id makeError(ErrorCode Code, std::string Message) {
  return boost::leaf::new_error(Error{Code, std::move(Message)});
}

namespace detail {
template <typename T> struct ResultValue;
template <typename T> struct ResultValue<Result<T>> { using Type = T; };
} // namespace detail

/// Calls Operation, which returns a Result<T>. Returns the value of the result
/// or, if Operation fails, the return value of Handler, which takes a const
/// Error & and returns a value that is convertible to T.
///
/// Boost.LEAF stores an Error only while a handler is active, so the function
/// that can fail must be called inside Operation.
template <typename OperationT, typename HandlerT>
auto handleError(OperationT &&Operation, HandlerT &&Handler) {
  using ValueT = typename detail::ResultValue<decltype(Operation())>::Type;
  return boost::leaf::try_handle_all(
      std::forward<OperationT>(Operation),
      [&](const Error &E) -> ValueT { return Handler(E); },
      [&]() -> ValueT {
        return Handler(Error{ErrorCode::InvalidInput,
                             "operation failed without error details"});
      });
}

} // namespace teaselhitch

#endif
