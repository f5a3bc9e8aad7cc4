#include "teaselhitch/Integration/Problem.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cmath>

namespace teaselhitch {

HttpAnswer makeProblem(Reason Cause, Outcome Result,
                       const std::string &RequestId, Duration RetryAfter) {
  const ReasonInfo &Info = reasonInfo(Cause);
  boost::json::object Body;
  Body["type"] = std::string("urn:teaselhitch:reason:") + Info.Name;
  Body["title"] = Info.Name;
  Body["status"] = Info.Status;
  Body["detail"] = Info.Detail;
  Body["reason"] = Info.Name;
  Body["outcome"] = outcomeName(Result);
  Body["request_id"] = RequestId;
  HttpAnswer Answer;
  Answer.Status = Info.Status;
  Answer.Headers = {{"Content-Type", "application/problem+json"},
                    {OutcomeHeader, outcomeName(Result)},
                    {ReasonHeader, Info.Name}};
  if (!RequestId.empty())
    Answer.Headers.push_back(Header{RequestIdHeader, RequestId});
  constexpr unsigned Unauthorized = 401;
  if (Info.Status == Unauthorized)
    Answer.Headers.push_back(Header{"WWW-Authenticate", "Bearer"});
  constexpr unsigned TooManyRequests = 429;
  constexpr unsigned Unavailable = 503;
  if (Info.Status == TooManyRequests || Info.Status == Unavailable) {
    double Seconds = std::max(1.0, std::ceil(RetryAfter.ms() / 1000));
    Answer.Headers.push_back(
        Header{"Retry-After", std::to_string(static_cast<int>(Seconds))});
  }
  Answer.Body = boost::json::serialize(Body) + "\n";
  return Answer;
}

HttpAnswer makeJson(unsigned Status, const boost::json::value &Value) {
  HttpAnswer Answer;
  Answer.Status = Status;
  Answer.Headers = {{"Content-Type", "application/json"}};
  Answer.Body = boost::json::serialize(Value) + "\n";
  return Answer;
}

} // namespace teaselhitch
