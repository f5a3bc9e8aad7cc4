#include "teaselhitch/Model/Messages.h"

#include <algorithm>

namespace teaselhitch {

namespace {

char lowerAscii(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

bool equalsIgnoringCase(const std::string &A, const std::string &B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(), [](char X, char Y) {
    return lowerAscii(X) == lowerAscii(Y);
  });
}

} // namespace

std::string headerValue(const HeaderList &Headers, const std::string &Name) {
  for (const Header &H : Headers)
    if (equalsIgnoringCase(H.Name, Name))
      return H.Value;
  return "";
}

std::string toString(const RequestId &Id) {
  return Id.Entry.str() + "-" + std::to_string(Id.Incarnation) + "-" +
         std::to_string(Id.Sequence);
}

std::string toString(const AttemptId &Id) {
  return toString(Id.Request) + "-" + std::to_string(Id.Number);
}

} // namespace teaselhitch
