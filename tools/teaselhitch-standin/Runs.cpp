#include "Runs.h"

#include <boost/json/serialize.hpp>

namespace teaselhitch::standin {

bool RunRecorder::openFile(const std::string &Path,
                           const Process &NewIdentity) {
  Identity = NewIdentity;
  File.open(Path, std::ios::app);
  return File.is_open();
}

void RunRecorder::record(const std::string &Key, const std::string &RequestId) {
  if (!Key.empty())
    ++Counts.ByKey[Key];
  if (!RequestId.empty())
    ++Counts.ByRequest[RequestId];
  if (!File.is_open())
    return;
  boost::json::object Line{{"address", Identity.Address},
                           {"incarnation", Identity.Incarnation},
                           {"key", Key},
                           {"request_id", RequestId}};
  // The line is flushed because the process may crash while it runs this
  // request.
  File << boost::json::serialize(Line) << std::endl;
}

boost::json::object toJson(const std::map<std::string, std::uint64_t> &Counts) {
  boost::json::object Object;
  for (const auto &[Name, Count] : Counts)
    Object[Name] = Count;
  return Object;
}

} // namespace teaselhitch::standin
