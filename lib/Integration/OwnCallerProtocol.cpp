#include "OwnProtocols.h"
#include "teaselhitch/Integration/Problem.h"
#include "teaselhitch/Support/Hash.h"

#include <algorithm>
#include <string_view>

namespace teaselhitch {

namespace {

constexpr std::size_t MaxKeyLength = 256;
/// Organisation of requests that name none.
constexpr const char *DefaultOrganisation = "default";
constexpr std::string_view OwnHeaderPrefix = "teaselhitch-";

bool isPrintable(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return C > 0x20 && C < 0x7f; });
}

bool isOwnHeader(const std::string &Name) {
  if (Name.size() < OwnHeaderPrefix.size())
    return false;
  std::string Start = Name.substr(0, OwnHeaderPrefix.size());
  std::transform(Start.begin(), Start.end(), Start.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  });
  return Start == OwnHeaderPrefix;
}

class OwnCallerProtocol final : public CallerProtocol {
public:
  Result<CallerRequest> describe(HttpRequest &Request) const override {
    CallerRequest Described;
    Described.Method = Request.Method;
    Described.Host = hostOf(Request);
    Described.Path = pathOf(Request.Target);
    std::string Organisation = headerValue(Request.Headers, OrganisationHeader);
    if (Organisation.empty())
      Organisation = DefaultOrganisation;
    Described.Organisation = OrganisationName(Organisation);
    Described.Key = headerValue(Request.Headers, KeyHeader);
    Described.BodyBytes = Request.Body.size();
    Described.BodyHash = hash64(Request.Target + "\n" + Request.Body);
    if (!isValidName(Organisation) || Described.Path.empty() ||
        Described.Path[0] != '/' || Described.Key.size() > MaxKeyLength ||
        !isPrintable(Described.Key))
      return makeError(ErrorCode::InvalidInput, "malformed header or target");
    std::string Deadline = headerValue(Request.Headers, DeadlineHeader);
    if (!Deadline.empty()) {
      BOOST_LEAF_ASSIGN(Described.Deadline,
                        parseMilliseconds(DeadlineHeader, Deadline));
    }
    std::erase_if(Request.Headers,
                  [](const Header &H) { return isOwnHeader(H.Name); });
    Request.Headers.push_back(Header{OrganisationHeader, Organisation});
    return Described;
  }

  HttpAnswer refuse(const Refusal &What) const override {
    return makeProblem(What.Why, What.Result, What.RequestId, What.RetryAfter);
  }

  void finish(HttpAnswer &Answer, const std::string &RequestId) const override {
    std::erase_if(Answer.Headers,
                  [](const Header &H) { return isOwnHeader(H.Name); });
    Answer.Headers.push_back(Header{RequestIdHeader, RequestId});
    Answer.Headers.push_back(
        Header{OutcomeHeader, outcomeName(Outcome::Completed)});
  }
};

} // namespace

std::unique_ptr<CallerProtocol> createOwnCallerProtocol() {
  return std::make_unique<OwnCallerProtocol>();
}

} // namespace teaselhitch
