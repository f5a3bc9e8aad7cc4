#include "teaselhitch/Model/Messages.h"

namespace teaselhitch {

std::string toString(const RequestId &Id) {
  return Id.Entry.str() + "-" + std::to_string(Id.Incarnation) + "-" +
         std::to_string(Id.Sequence);
}

std::string toString(const AttemptId &Id) {
  return toString(Id.Request) + "-" + std::to_string(Id.Number);
}

} // namespace teaselhitch
