#include "EntryFixture.h"
#include "teaselhitch/Support/Hash.h"

using namespace teaselhitch;

namespace {

constexpr std::uint64_t Seed = 11;

/// The objects of makeConfig() and two organisations with one key each, which
/// callers must send for /pay. /read is public.
std::shared_ptr<const ActiveConfig>
makeCredentialsConfig(const std::string &FirstKey,
                      const std::string &SecondKey) {
  auto Config = std::make_shared<ActiveConfig>(*makeConfig());
  ++Config->Version;
  Organisation First;
  First.Name = OrganisationName("first");
  First.KeyDigests = {sha256Hex(FirstKey)};
  First.Priority = 3;
  Organisation Second;
  Second.Name = OrganisationName("second");
  Second.KeyDigests = {sha256Hex(SecondKey)};
  Config->Objects.Organisations = {First, Second};
  Config->Objects.Listeners.emplace_back().RequiresCredentials = true;
  Rule &Pay = Config->Objects.Rules[0];
  Pay.Priority = 7;
  Rule &Read = Config->Objects.Rules[1];
  Read.Priority = 7;
  Read.IsPublic = true;
  return Config;
}

class CredentialsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CredentialsTest);
  CPPUNIT_TEST(requestsNeedAKnownKey);
  CPPUNIT_TEST(organisationComesFromTheKey);
  CPPUNIT_TEST(subRequestsAreAccountedToTheirParent);
  CPPUNIT_TEST(keysFollowTheConfiguration);
  CPPUNIT_TEST(revocationEndsWaitingRequests);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Random = std::make_unique<SeededRandom>(Seed);
    Core = makeEntry(*Random);
  }

private:
  /// Accepts a request with a key, without granting its offers.
  EntryActions offerWithKey(const char *Path, const std::string &Key) {
    CallerRequest Request;
    Request.Method = "GET";
    Request.Path = Path;
    Request.Organisation = OrganisationName("first");
    if (!Key.empty())
      Request.CredentialDigest = sha256Hex(Key);
    EntryActions Actions;
    LastId = Core->accept(Request, Now, Actions);
    return Actions;
  }

  /// Returns the reason with which a request with this key is refused, or
  /// nullopt if it is offered to a guard.
  std::optional<Reason> refusal(const char *Path, const std::string &Key) {
    EntryActions Actions = offerWithKey(Path, Key);
    if (find<SendOffer>(Actions))
      return std::nullopt;
    CPPUNIT_ASSERT(find<ReplyFailure>(Actions));
    CPPUNIT_ASSERT(find<ReplyFailure>(Actions)->Result == Outcome::NotRun);
    return find<ReplyFailure>(Actions)->Cause;
  }

  /// Grants the offers, as guards with a free slot do, and replaces them by the
  /// actions that follow.
  EntryActions grantOffers(EntryActions Actions) {
    EntryActions Resulting;
    for (EntryAction &Action : Actions) {
      const auto *Offered = std::get_if<SendOffer>(&Action);
      if (!Offered) {
        Resulting.push_back(std::move(Action));
        continue;
      }
      Grant Granted;
      Granted.Attempt = Offered->Info.Attempt;
      for (EntryAction &Next : Core->handleGrant(Granted, Now))
        Resulting.push_back(std::move(Next));
    }
    return Resulting;
  }

  std::unique_ptr<RandomSource> Random;
  std::unique_ptr<Entry> Core;
  Time Now{1000};
  RequestId LastId;

  /// Guards against a request without a known key that runs, and against a
  /// caller that names an organisation instead of sending its key.
  void requestsNeedAKnownKey() {
    Core->configure(makeCredentialsConfig("k1", "k2"));
    CPPUNIT_ASSERT(!refusal("/pay", "k1") && !refusal("/pay", "k2"));
    CPPUNIT_ASSERT(refusal("/pay", "") == Reason::UnknownCredential);
    CPPUNIT_ASSERT(refusal("/pay", "k3") == Reason::UnknownCredential);
    CPPUNIT_ASSERT(!refusal("/read", "") && !refusal("/read", "k3"));
    CPPUNIT_ASSERT(refusal("/other", "") == Reason::NoRule);
    CPPUNIT_ASSERT(refusal("/other", "k1") == Reason::NoRule);
    CPPUNIT_ASSERT(Core->requiresCredentials());
    // Without required credentials, a key has no meaning.
    Core->configure(makeConfig());
    CPPUNIT_ASSERT(!refusal("/pay", "") && !refusal("/pay", "k3"));
    CPPUNIT_ASSERT(!Core->requiresCredentials());
    CPPUNIT_ASSERT(Core->organisationOf(sha256Hex("k1")).empty());
  }

  /// Guards against a node without a configuration that reports its callers'
  /// keys as unknown, so that they give up, and against requests that are
  /// accounted to another organisation or get another priority.
  void organisationComesFromTheKey() {
    struct Case {
      const char *Path;
      const char *Key;
      const char *Organisation;
      std::uint32_t Priority;
    };
    Core->configure(makeCredentialsConfig("k1", "k2"));
    for (const Case &C :
         {Case{"/pay", "k1", "first", 3}, Case{"/pay", "k2", "second", 7},
          Case{"/read", "k1", "first", 3}, Case{"/read", "k3", "", 7},
          Case{"/read", "", "", 7}}) {
      EntryActions Actions = offerWithKey(C.Path, C.Key);
      const auto *Offered = find<SendOffer>(Actions);
      CPPUNIT_ASSERT(Offered);
      CPPUNIT_ASSERT_EQUAL(std::string(C.Organisation),
                           Offered->Info.Organisation.str());
      CPPUNIT_ASSERT_EQUAL(C.Priority, Offered->Info.Priority);
    }
    EntrySettings Settings;
    Settings.Node = NodeName("n9");
    Core = Entry::create(Settings, *Random).value();
    CPPUNIT_ASSERT(refusal("/pay", "k1") == Reason::NoConfiguration);
    CPPUNIT_ASSERT(refusal("/pay", "") == Reason::NoConfiguration);
  }

  /// Guards against sub-requests that compete as requests of no organisation,
  /// so that their parent holds its slot for longer, and against a parent that
  /// replaces the organisation of a key or permits a request without a key.
  void subRequestsAreAccountedToTheirParent() {
    Core->configure(makeCredentialsConfig("k1", "k2"));
    CallerRequest Request;
    Request.Method = "GET";
    Request.Path = "/read";
    Request.ParentId = "a";
    Request.ParentPriority = 3;
    Request.ParentOrganisation = OrganisationName("first");
    EntryActions Actions;
    Core->accept(Request, Now, Actions);
    CPPUNIT_ASSERT(find<SendOffer>(Actions)->Info.Organisation.str() ==
                   "first");
    CPPUNIT_ASSERT(find<SendOffer>(Actions)->Info.Priority == 2);
    Request.CredentialDigest = sha256Hex("k2");
    Actions.clear();
    Core->accept(Request, Now, Actions);
    CPPUNIT_ASSERT(find<SendOffer>(Actions)->Info.Organisation.str() ==
                   "second");
    Request.CredentialDigest.clear();
    Request.Path = "/pay";
    Actions.clear();
    Core->accept(Request, Now, Actions);
    CPPUNIT_ASSERT(find<ReplyFailure>(Actions)->Cause ==
                   Reason::UnknownCredential);
  }

  /// Guards against keys that take effect or stay in effect contrary to the
  /// newest configuration: added, moved between organisations, all revoked.
  void keysFollowTheConfiguration() {
    Core->configure(makeCredentialsConfig("k1", "k2"));
    CPPUNIT_ASSERT(refusal("/pay", "k3") == Reason::UnknownCredential);
    Core->configure(makeCredentialsConfig("k2", "k3"));
    CPPUNIT_ASSERT(refusal("/pay", "k1") == Reason::UnknownCredential);
    CPPUNIT_ASSERT(Core->organisationOf(sha256Hex("k2")).str() == "first");
    CPPUNIT_ASSERT(Core->organisationOf(sha256Hex("k3")).str() == "second");
    auto Revoked =
        std::make_shared<ActiveConfig>(*makeCredentialsConfig("k2", "k3"));
    for (Organisation &O : Revoked->Objects.Organisations)
      O.KeyDigests.clear();
    Core->configure(Revoked);
    for (const char *Key : {"k1", "k2", "k3", ""})
      CPPUNIT_ASSERT(refusal("/pay", Key) == Reason::UnknownCredential);
    CPPUNIT_ASSERT(!refusal("/read", "k2"));
    CPPUNIT_ASSERT(Core->organisationOf(sha256Hex("k2")).empty());
  }

  /// Guards against a request that waits for a slot with a key that is revoked
  /// meanwhile and then runs, and against a running request that is reported as
  /// not run because its key was revoked.
  void revocationEndsWaitingRequests() {
    Core->configure(makeCredentialsConfig("k1", "k2"));
    EntryActions Waiting = offerWithKey("/pay", "k1");
    RequestId WaitingId = LastId;
    EntryActions Kept = offerWithKey("/pay", "k2");
    EntryActions Public = offerWithKey("/read", "k1");
    EntryActions Sent = grantOffers(offerWithKey("/pay", "k1"));
    const AttemptId SentAttempt = find<SendAttempt>(Sent)->Info.Attempt;
    Core->configure(makeCredentialsConfig("k4", "k2"));
    EntryActions Ended = Core->tick(Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Ended.size());
    const auto *Reply = find<ReplyFailure>(Ended);
    CPPUNIT_ASSERT(Reply && Reply->Request == WaitingId &&
                   Reply->Cause == Reason::UnknownCredential &&
                   Reply->Result == Outcome::NotRun);
    CPPUNIT_ASSERT(find<SendCancel>(Ended)->Attempt ==
                   find<SendOffer>(Waiting)->Info.Attempt);
    // A grant that arrives later starts nothing.
    CPPUNIT_ASSERT(grantOffers(Waiting).empty());
    CPPUNIT_ASSERT(find<SendAttempt>(grantOffers(Kept)));
    CPPUNIT_ASSERT(find<SendAttempt>(grantOffers(Public)));
    AttemptAnswer Answer;
    Answer.Attempt = SentAttempt;
    Answer.Answer.Status = 200;
    CPPUNIT_ASSERT(find<ReplyAnswer>(Core->handleAnswer(Answer, Now)));
    CPPUNIT_ASSERT(!find<ReplyFailure>(Core->tick(Now)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CredentialsTest);

} // namespace
