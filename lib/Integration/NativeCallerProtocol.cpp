#include "NativeProtocols.h"
#include "teaselhitch/Integration/Problem.h"
#include "teaselhitch/Support/Hash.h"

#include <algorithm>
#include <string_view>

namespace teaselhitch {

namespace {

constexpr std::size_t MaxKeyLength = 256;
/// Organisation of requests without an organisation header.
constexpr const char *DefaultOrganisation = "default";
/// Prefix of the headers that are reserved for the system, in lower case.
constexpr std::string_view ReservedHeaderPrefix = "teaselhitch-";

bool isVisibleAscii(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return C > 0x20 && C < 0x7f; });
}

bool isReservedHeader(const std::string &Name) {
  if (Name.size() < ReservedHeaderPrefix.size())
    return false;
  std::string Prefix = Name.substr(0, ReservedHeaderPrefix.size());
  std::transform(Prefix.begin(), Prefix.end(), Prefix.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  });
  return Prefix == ReservedHeaderPrefix;
}

class NativeCallerProtocol final : public CallerProtocol {
public:
  Result<CallerRequest> describe(HttpRequest &Request,
                                 bool RequiresCredentials) const override {
    CallerRequest Description;
    if (RequiresCredentials)
      Description.CredentialDigest = takeBearerDigest(Request.Headers);
    Description.Method = Request.Method;
    Description.Host = hostOf(Request);
    Description.Path = pathOf(Request.Target);
    std::string Organisation = headerValue(Request.Headers, OrganisationHeader);
    if (Organisation.empty())
      Organisation = DefaultOrganisation;
    Description.Organisation = OrganisationName(Organisation);
    Description.Key = headerValue(Request.Headers, KeyHeader);
    Description.BodyBytes = Request.Body.size();
    Description.BodyHash = hash64(Request.Target + "\n", Request.Body.str());
    if (!isValidName(Organisation) || Description.Path.empty() ||
        Description.Path[0] != '/' || Description.Key.size() > MaxKeyLength ||
        !isVisibleAscii(Description.Key))
      return makeError(ErrorCode::InvalidInput, "malformed header or target");
    std::string Deadline = headerValue(Request.Headers, DeadlineHeader);
    if (!Deadline.empty()) {
      BOOST_LEAF_ASSIGN(Description.Deadline,
                        parseMilliseconds(DeadlineHeader, Deadline));
    }
    std::erase_if(Request.Headers,
                  [](const Header &H) { return isReservedHeader(H.Name); });
    Request.Headers.push_back(Header{OrganisationHeader, Organisation});
    return Description;
  }

  void identify(HttpRequest &Request,
                const OrganisationName &Organisation) const override {
    removeHeader(Request.Headers, OrganisationHeader);
    if (!Organisation.empty())
      Request.Headers.push_back(Header{OrganisationHeader, Organisation.str()});
  }

  HttpAnswer refuse(const Refusal &R) const override {
    return makeProblem(R.Cause, R.Result, R.RequestId, R.RetryAfter);
  }

  void finish(HttpAnswer &Answer, const std::string &RequestId) const override {
    std::erase_if(Answer.Headers,
                  [](const Header &H) { return isReservedHeader(H.Name); });
    Answer.Headers.push_back(Header{RequestIdHeader, RequestId});
    Answer.Headers.push_back(
        Header{OutcomeHeader, outcomeName(Outcome::Completed)});
  }
};

} // namespace

std::unique_ptr<CallerProtocol> createNativeCallerProtocol() {
  return std::make_unique<NativeCallerProtocol>();
}

} // namespace teaselhitch
