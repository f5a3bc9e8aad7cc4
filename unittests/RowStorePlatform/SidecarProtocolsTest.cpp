#include "../../platform/SidecarProtocols.h"

#include "teaselhitch/Support/Hash.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

const std::string Body =
    R"({"Address":"10.0.0.9:8080","born":1700,"Info":{"Service":"s","Version":)"
    R"("v1","Zone":"z","Slots":4},"Status":{"State":"ready","Seq":4,)"
    R"("ColdLeftMs":250}})";

std::string replaceInBody(const std::string &From, const std::string &To) {
  std::string Text = Body;
  std::size_t Pos = Text.find(From);
  CPPUNIT_ASSERT(Pos != std::string::npos);
  return Text.replace(Pos, From.size(), To);
}

/// Returns the error message for a message to the announcement listener, or an
/// empty string.
std::string readErrorMessage(const std::string &Target,
                             const std::string &Text) {
  std::string Message;
  handleError(
      [&] {
        return createSidecarBackends()->read({"POST", Target, {}, Text});
      },
      [&](const Error &E) {
        Message = E.Message;
        return BackendMessage();
      });
  return Message;
}

AnswerKind judge(unsigned Status, HeaderList Headers) {
  return createSidecarBackends()->classify({{"Request-Id", "id1"}},
                                           {Status, std::move(Headers), ""});
}

class SidecarProtocolsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SidecarProtocolsTest);
  CPPUNIT_TEST(announcementsAreTranslated);
  CPPUNIT_TEST(invalidAnnouncementsAreRefused);
  CPPUNIT_TEST(answersAreClassified);
  CPPUNIT_TEST(callersCannotSetReservedHeaders);
  CPPUNIT_TEST(keyIsReplacedByItsDigest);
  CPPUNIT_TEST(organisationIsSetByTheNode);
  CPPUNIT_TEST(credentialsPassWhenNoneAreRequired);
  CPPUNIT_TEST(onlyNotRunOutcomesGetNotRunStatus);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against fields that are swapped, and against a restart that is not
  /// distinguished from the previous start.
  void announcementsAreTranslated() {
    auto Message = createSidecarBackends()
                       ->read({"POST", "/Instances.Heartbeat/i-1", {}, Body})
                       .value();
    const auto &A = std::get<Announcement>(Message);
    CPPUNIT_ASSERT(A.Name.str() == "i-1" && A.Service.str() == "s");
    CPPUNIT_ASSERT(A.Address == (Endpoint{"10.0.0.9", 8080}));
    CPPUNIT_ASSERT(A.Incarnation == 1700 && A.Sequence == 5 && A.Slots == 4);
    CPPUNIT_ASSERT(A.State == BackendServerState::Ready);
    CPPUNIT_ASSERT(A.ColdRemaining == Duration(250));
    auto Left = createSidecarBackends()
                    ->read({"POST", "/Instances.Leave/i-1", {}, ""})
                    .value();
    CPPUNIT_ASSERT(std::get<Departure>(Left).Name.str() == "i-1");
  }

  /// Guards against requests that are sent to a backend server that exists only
  /// in a forged announcement.
  void invalidAnnouncementsAreRefused() {
    const std::string Target = "/Instances.Heartbeat/i-1";
    struct Case {
      std::string Target;
      std::string Text;
      const char *ExpectedInMessage;
    };
    const Case Cases[] = {
        {Target, "not json", "JSON"},
        {Target, "[]", "JSON"},
        {Target, replaceInBody("\"born\":1700,", ""), "born"},
        {Target, replaceInBody("1700", "1700.5"), "born"},
        {Target, replaceInBody("\"Slots\":4", "\"Slots\":\"4\""), "Slots"},
        {Target, replaceInBody("\"Slots\":4", "\"Slots\":0"), "Slots"},
        {Target, replaceInBody("\"ready\"", "\"gone\""), "State"},
        {Target, replaceInBody("\"Seq\":4", "\"Seq\":-4"), "Seq"},
        {Target, replaceInBody("10.0.0.9:8080", "server:8080"), "Address"},
        {Target, replaceInBody("\"Service\":\"s\"", "\"Service\":7"),
         "Service"},
        {Target, replaceInBody("\"Slots\":4", "\"Slots\":4294967296"), "Slots"},
        {Target, replaceInBody("\"Slots\":4", "\"Slots\":1e30"), "Slots"},
        {Target, replaceInBody("1700", "18446744073709551615"), "born"},
        {Target, replaceInBody("\"ColdLeftMs\":250", "\"ColdLeftMs\":1e999"),
         "ColdLeftMs"},
        {Target, replaceInBody("\"ColdLeftMs\":250", "\"ColdLeftMs\":-1"),
         "ColdLeftMs"},
        {Target, replaceInBody("\"Seq\":4", "\"Seq\":18446744073709551615"),
         "Seq"},
        {Target, replaceInBody("10.0.0.9:8080", "10.0.0.9:0"), "Address"},
        {Target, replaceInBody("10.0.0.9:8080", "10.0.0.9:65536"), "Address"},
        {Target, std::string(10000, '[') + std::string(10000, ']'), "JSON"},
        {Target,
         replaceInBody("\"v1\"",
                       std::string(10000, '[') + std::string(10000, ']')),
         "JSON"},
        {"/Instances.Heartbeat/" + std::string(4096, 'i'), Body, "id"},
        {"/Instances.Heartbeat/a b", Body, "id"},
        {"/Instances.Other/i-1", Body, "unknown call"},
    };
    for (const Case &C : Cases)
      CPPUNIT_ASSERT(
          readErrorMessage(C.Target, C.Text).find(C.ExpectedInMessage) !=
          std::string::npos);
  }

  /// Guards against accepting an answer to another request, an answer without
  /// proof of its origin, or a refusal status that the backend server did not
  /// confirm as not run.
  void answersAreClassified() {
    Header MatchingId{"Request-Id", "id1"};
    Header Proof{"Server-Seal", "x"};
    Header Refused{"Not-Executed", "1"};
    CPPUNIT_ASSERT(judge(200, {MatchingId, Proof}) == AnswerKind::Valid);
    CPPUNIT_ASSERT(judge(500, {MatchingId, Proof}) == AnswerKind::Valid);
    CPPUNIT_ASSERT(judge(200, {MatchingId}) == AnswerKind::Unverified);
    CPPUNIT_ASSERT(judge(200, {{"Request-Id", "id2"}, Proof}) ==
                   AnswerKind::Mismatched);
    CPPUNIT_ASSERT(judge(421, {MatchingId}) == AnswerKind::OtherServer);
    CPPUNIT_ASSERT(judge(503, {Refused}) == AnswerKind::NotRun);
    CPPUNIT_ASSERT(judge(503, {MatchingId, Proof}) == AnswerKind::Unverified);
  }

  /// Guards against callers that claim to be another service, or that set other
  /// headers reserved for this system.
  void callersCannotSetReservedHeaders() {
    HttpRequest Request{"GET",
                        "/a/b?c=1",
                        {{"Host", "A.example:80"},
                         {"Caller-Service", "other"},
                         {"expect-instance", "i-9"},
                         {"Deadline-Ms", "250"},
                         {"Request-Id", "parent.child"}},
                        ""};
    CallerRequest Read =
        createSidecarCallers("own")->describe(Request, false).value();
    CPPUNIT_ASSERT(Read.Host == "a.example" && Read.Path == "/a/b");
    CPPUNIT_ASSERT(Read.Deadline == Duration(250) && Read.ParentId == "parent");
    CPPUNIT_ASSERT(createSidecarBackends()->callerId(Request) ==
                   "parent.child");
    CPPUNIT_ASSERT_EQUAL(std::string("own"),
                         headerValue(Request.Headers, "Caller-Service"));
    CPPUNIT_ASSERT(headerValue(Request.Headers, "Expect-Instance").empty());
    CPPUNIT_ASSERT(headerValue(Request.Headers, "Deadline-Ms").empty());
  }

  /// Guards against a key that reaches a backend server, and against a header
  /// that is understood as another key than the caller meant.
  void keyIsReplacedByItsDigest() {
    struct Case {
      HeaderList Headers;
      std::string ExpectedKey;
    };
    const Case Cases[] = {
        {{{"Authorization", "Bearer k1"}}, "k1"},
        {{{"authorization", "bEARER   k1 "}}, "k1"},
        {{{"Authorization", "Bearer k1 k2"}}, "k1 k2"},
        {{{"Authorization", "Basic k1"}}, ""},
        {{{"Authorization", "Bearerk1"}}, ""},
        {{{"Authorization", "Bearer "}}, ""},
        {{{"Authorization", "k1"}}, ""},
        {{{"Authorization", ""}}, ""},
        {{{"Authorization", "Bearer k1"}, {"AUTHORIZATION", "Bearer k1"}}, ""},
        {{}, ""},
    };
    for (const Case &C : Cases) {
      HttpRequest Request{"GET", "/a", C.Headers, ""};
      CallerRequest Read =
          createSidecarCallers("own")->describe(Request, true).value();
      CPPUNIT_ASSERT_EQUAL(C.ExpectedKey.empty() ? std::string()
                                                 : sha256Hex(C.ExpectedKey),
                           Read.CredentialDigest);
      CPPUNIT_ASSERT(headerValue(Request.Headers, "Authorization").empty());
    }
  }

  /// Guards against a caller that claims to be another organisation, with one
  /// header or with several.
  void organisationIsSetByTheNode() {
    auto Protocol = createSidecarCallers("own");
    for (const char *Name : {"firm", ""}) {
      HttpRequest Request{
          "GET", "/a", {{"Tenant", "x"}, {"tenant", "y"}, {"Other", "z"}}, ""};
      Protocol->identify(Request, OrganisationName(Name));
      CPPUNIT_ASSERT_EQUAL(std::string(Name),
                           headerValue(Request.Headers, "Tenant"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(*Name == '\0' ? 1 : 2),
                           Request.Headers.size());
    }
  }

  /// Guards against a deployment without organisations whose backend servers no
  /// longer get the headers that their callers send.
  void credentialsPassWhenNoneAreRequired() {
    HttpRequest Request{
        "GET", "/a", {{"Authorization", "Bearer k1"}, {"Tenant", "x"}}, ""};
    CallerRequest Read =
        createSidecarCallers("")->describe(Request, false).value();
    CPPUNIT_ASSERT(Read.CredentialDigest.empty());
    CPPUNIT_ASSERT(
        Request.Headers ==
        (HeaderList{{"Authorization", "Bearer k1"}, {"Tenant", "x"}}));
  }

  /// Guards against a status that guarantees "not run" for a request that may
  /// have run.
  void onlyNotRunOutcomesGetNotRunStatus() {
    auto Protocol = createSidecarCallers("own");
    Refusal WithoutKey;
    WithoutKey.Cause = Reason::UnknownCredential;
    CPPUNIT_ASSERT_EQUAL(401U, Protocol->refuse(WithoutKey).Status);
    Refusal OverRate;
    OverRate.Cause = Reason::OverRate;
    OverRate.Result = Outcome::NotRun;
    OverRate.RetryAfter = Duration(250);
    HttpAnswer Refused = Protocol->refuse(OverRate);
    CPPUNIT_ASSERT_EQUAL(429U, Refused.Status);
    CPPUNIT_ASSERT_EQUAL(
        0.25, std::stod(headerValue(Refused.Headers, "Retry-After")));
    for (const ReasonInfo &Info : allReasons()) {
      Refusal R;
      R.Cause = Info.Code;
      R.Result = Outcome::Unknown;
      unsigned Unknown = Protocol->refuse(R).Status;
      CPPUNIT_ASSERT(Unknown == 502 || Unknown == 504);
      R.Result = Outcome::NotRun;
      unsigned NotRun = Protocol->refuse(R).Status;
      CPPUNIT_ASSERT(NotRun == 503 || NotRun < 500);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SidecarProtocolsTest);

} // namespace
