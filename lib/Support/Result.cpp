#include "teaselhitch/Support/Result.h"

namespace teaselhitch {

const char *errorCodeName(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidInput:
    return "invalid-input";
  case ErrorCode::NotFound:
    return "not-found";
  case ErrorCode::Conflict:
    return "conflict";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::Timeout:
    return "timeout";
  case ErrorCode::Corrupt:
    return "corrupt";
  case ErrorCode::Exhausted:
    return "exhausted";
  }
  return "invalid-input";
}

} // namespace teaselhitch
