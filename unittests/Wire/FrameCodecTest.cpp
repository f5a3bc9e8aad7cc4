#include "teaselhitch/Wire/FrameCodec.h"

#include "teaselhitch/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

using namespace teaselhitch;

namespace {

constexpr std::uint64_t Seed = 20261204;

Dispatch makeDispatch() {
  Dispatch D;
  D.Info.Attempt = AttemptId{RequestId{NodeName("n1"), 7, 8}, 2};
  D.Info.Service = ServiceName("seats");
  D.Info.Preferred = BackendServerName("b1");
  D.Info.Organisation = OrganisationName("org");
  D.Info.Idempotent = true;
  D.Info.Remaining = Duration(1500);
  D.Info.GuardKey = "th1.x";
  D.Info.Fingerprint = 99;
  D.Info.BodyBytes = 4;
  D.Info.Baseline = ServiceBaseline{0.01, 4.5, 80};
  D.Request = HttpRequest{"POST", "/a?b=c", {{"Accept", "*/*"}}, "body"};
  return D;
}

std::vector<PeerMessage> allMessages() {
  AttemptFailed Failed;
  Failed.Attempt = makeDispatch().Info.Attempt;
  Failed.Cause = Reason::QueueFull;
  Failed.RetryAfter = Duration(250);
  AttemptAnswer Answer;
  Answer.Attempt = Failed.Attempt;
  Answer.Server = BackendServerName("b2");
  Answer.Load = {3, 1, 4, 12};
  Answer.RunTime = Duration(4.25);
  Answer.Answer = HttpAnswer{200, {{"X", "y"}}, std::string("\0\1", 2)};
  Delta Changes;
  Changes.Head = ConfigHead{4, std::string(64, 'a')};
  return {
      Hello{"fleet", NodeName("n1"), 5, FailureDomain("d1"), 1},
      Heartbeat{9, true},
      makeDispatch(),
      Cancel{Failed.Attempt},
      MintKey{3, ServiceName("seats")},
      Failed,
      Answer,
      KeyMinted{3, "key", Duration(600000)},
      Digest{},
      Changes,
      PieceRequest{"hash"},
      Piece{"hash", "bytes"},
      AttemptOverdue{Failed.Attempt, {1, 0, 3, 80}},
      Offer{makeDispatch().Info},
      Grant{Failed.Attempt, {2, 0, 3, 5}},
      CreditRequest{OrganisationName("org"), 20, 3},
      CreditReply{OrganisationName("org"), 20, Duration(1000), Duration(200)},
      DepartureCopy{{{BackendServerName("w1"), 1796381668751},
                     {BackendServerName("w2"), {}}}},
      DepartureCopyKept{{{BackendServerName("w1"), 0}}}};
}

std::string encode(const PeerMessage &Message) {
  EncodedFrame Frame = handleError([&] { return encodeFrame(Message); },
                                   [](const Error &E) {
                                     CPPUNIT_FAIL(E.Message);
                                     return EncodedFrame();
                                   });
  return Frame.Head + Frame.Body.str();
}

/// Reads all complete messages of a stream; returns false at the first error.
bool readAll(FrameReader &Reader, std::vector<PeerMessage> &Out) {
  bool Ok = true;
  while (Ok) {
    auto Message =
        handleError([&] { return Reader.next(); },
                    [&](const Error &) -> std::optional<PeerMessage> {
                      Ok = false;
                      return std::nullopt;
                    });
    if (!Message)
      break;
    Out.push_back(std::move(*Message));
  }
  return Ok;
}

template <typename T> std::string bytesOf(const T &Value) {
  return std::string(reinterpret_cast<const char *>(&Value), sizeof(Value));
}

/// True if the frame of Message is refused after From in it is replaced by To.
bool isRefused(const PeerMessage &Message, const std::string &From,
               const std::string &To) {
  CPPUNIT_ASSERT_EQUAL(From.size(), To.size());
  std::string Frame = encode(Message);
  std::size_t Position = Frame.find(From);
  CPPUNIT_ASSERT(Position != std::string::npos);
  Frame.replace(Position, From.size(), To);
  FrameReader Reader;
  Reader.append(Frame);
  std::vector<PeerMessage> Out;
  return !readAll(Reader, Out) && Out.empty();
}

class FrameCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameCodecTest);
  CPPUNIT_TEST(decodesMessagesAtAnySplit);
  CPPUNIT_TEST(refusesMalformedFrames);
  CPPUNIT_TEST(refusesUnsafeValues);
  CPPUNIT_TEST(mutatedFramesDoNotCrash);
  CPPUNIT_TEST(bodiesAreAccountedUntilTheyAreDropped);
  CPPUNIT_TEST(discardedBodiesLeaveTheStreamIntact);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against lost fields, and against wrong frame boundaries when a
  /// stream arrives in parts of any size.
  void decodesMessagesAtAnySplit() {
    std::vector<PeerMessage> Messages = allMessages();
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<PeerMessage>, Messages.size());
    std::string Stream;
    for (const PeerMessage &Message : Messages)
      Stream += encode(Message);
    for (std::size_t Step : {std::size_t(1), std::size_t(7), Stream.size()}) {
      FrameReader Reader;
      std::vector<PeerMessage> Out;
      for (std::size_t I = 0; I < Stream.size(); I += Step) {
        Reader.append(std::string_view(Stream).substr(I, Step));
        CPPUNIT_ASSERT(readAll(Reader, Out));
      }
      CPPUNIT_ASSERT(Out == Messages);
    }
  }

  /// Guards against a peer that makes the reader wait indefinitely or allocate
  /// without bound.
  void refusesMalformedFrames() {
    std::string Good = encode(Heartbeat{1, false});
    std::string Empty("\0\0\0\0", 4);
    std::string Huge("\x7f\xff\xff\xff", 4);
    std::string UnknownType = Good;
    UnknownType[4] = 99;
    std::string Trailing = Good + "x";
    Trailing[3] = static_cast<char>(Good.size() - 4 + 1);
    // Fields that are longer than their frame, and a frame without room for
    // their length.
    std::string LongFields = encode(makeDispatch());
    LongFields[5] = 1;
    std::string NoFields = LongFields;
    NoFields[2] = 0;
    NoFields[3] = 3;
    for (const std::string &Bytes :
         {Empty, Huge, UnknownType, Trailing, LongFields, NoFields}) {
      FrameReader Reader;
      Reader.append(Bytes);
      std::vector<PeerMessage> Out;
      CPPUNIT_ASSERT(!readAll(Reader, Out));
    }
    Piece Large;
    Large.Bytes.assign(MaxFrameBytes, 'x');
    EncodedFrame Frame =
        handleError([&] { return encodeFrame(Large); },
                    [](const Error &) { return EncodedFrame(); });
    CPPUNIT_ASSERT(Frame.Head.empty());
    Dispatch LargeBody = makeDispatch();
    LargeBody.Request.Body = std::string(MaxFrameBytes, 'x');
    Frame = handleError([&] { return encodeFrame(LargeBody); },
                        [](const Error &) { return EncodedFrame(); });
    CPPUNIT_ASSERT(Frame.Head.empty());
  }

  /// Guards against values of a malicious peer that would split an HTTP message
  /// or break the arithmetic of deadlines and baselines.
  void refusesUnsafeValues() {
    const std::string NaN = bytesOf(std::numeric_limits<double>::quiet_NaN());
    const std::string TooMuch = bytesOf(1.5);
    Dispatch D = makeDispatch();
    CPPUNIT_ASSERT(isRefused(D, "*/*", "\r\na"));
    CPPUNIT_ASSERT(isRefused(D, "Accept", "Ac: pt"));
    CPPUNIT_ASSERT(isRefused(D, "seats", "../se"));
    CPPUNIT_ASSERT(isRefused(D, bytesOf(D.Info.Remaining.ms()), NaN));
    CPPUNIT_ASSERT(isRefused(D, bytesOf(D.Info.Baseline.ErrorRate), TooMuch));
    CPPUNIT_ASSERT(isRefused(D, bytesOf(D.Info.Baseline.RunTimeMs), NaN));
    AttemptAnswer Answer;
    Answer.Answer.Status = 200;
    for (unsigned Status : {0U, 1U, 99U, 100U, 101U, 199U, 600U, 999U, 4000U})
      CPPUNIT_ASSERT(isRefused(Answer, bytesOf(200U), bytesOf(Status)));
    // The flag after RetryAfter with a value that is neither 0 nor 1.
    AttemptFailed Failed;
    Failed.RetryAfter = Duration(1.5);
    CPPUNIT_ASSERT(isRefused(Failed, bytesOf(1.5) + std::string(1, '\0'),
                             bytesOf(1.5) + "\x29"));
    // The encoder refuses unsafe values as well.
    D.Request.Headers[0].Value = "a\r\nb";
    CPPUNIT_ASSERT(handleError([&] { return encodeFrame(D); },
                               [](const Error &) { return EncodedFrame(); })
                       .Head.empty());
  }

  /// Guards against bytes that stay counted after a body was dropped, or after
  /// the link was lost while a body arrived.
  void bodiesAreAccountedUntilTheyAreDropped() {
    MemoryBudget Budget;
    auto Reserve = [&](const PeerMessage &, std::uint64_t Bytes) {
      return Budget.reserve(Bytes);
    };
    Dispatch D = makeDispatch();
    D.Request.Body = std::string(100000, 'b');
    std::string Frame = encode(D);
    std::vector<PeerMessage> Out;
    {
      FrameReader Reader(Reserve);
      Reader.append(Frame);
      CPPUNIT_ASSERT(readAll(Reader, Out));
      CPPUNIT_ASSERT(Out == std::vector<PeerMessage>{D});
      Reader.append(Frame.substr(0, Frame.size() - 1));
      CPPUNIT_ASSERT(readAll(Reader, Out));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Out.size());
      CPPUNIT_ASSERT(Reader.isInBody());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(200000), Budget.held());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(100000), Budget.held());
    std::vector<PeerMessage> Copies = Out;
    Out.clear();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(100000), Budget.held());
    Copies.clear();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Budget.held());
  }

  /// Guards against the bytes of a discarded body being read as messages, and
  /// against a refusal that waits for a body which is not needed.
  void discardedBodiesLeaveTheStreamIntact() {
    Dispatch D = makeDispatch();
    D.Request.Body = std::string(100000, 'b');
    std::string Frame = encode(D);
    for (std::size_t Step :
         {std::size_t(1), std::size_t(70000), Frame.size()}) {
      FrameReader Reader([](const PeerMessage &, std::uint64_t) {
        return std::optional<MemoryBudget::Reservation>();
      });
      std::vector<PeerMessage> Out;
      std::string Stream = Frame + encode(Heartbeat{9, true});
      for (std::size_t I = 0; I < Stream.size(); I += Step) {
        Reader.append(std::string_view(Stream).substr(I, Step));
        CPPUNIT_ASSERT(readAll(Reader, Out));
        if (Step == 70000 && I == 0) {
          CPPUNIT_ASSERT_EQUAL(std::size_t(1), Out.size());
          CPPUNIT_ASSERT(Reader.isInBody());
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), Out.size());
      CPPUNIT_ASSERT(std::get<Dispatch>(Out[0]).Request.Body.empty());
      CPPUNIT_ASSERT(Out[1] == PeerMessage(Heartbeat{9, true}));
    }
  }

  /// Guards against crashes and uncaught exceptions on malicious input.
  void mutatedFramesDoNotCrash() {
    SeededRandom Random(Seed);
    std::vector<std::string> Frames;
    for (const PeerMessage &Message : allMessages())
      Frames.push_back(encode(Message));
    for (int Round = 0; Round != 20000; ++Round) {
      std::string Bytes = Frames[Random.uniformInt(Frames.size())];
      for (std::uint64_t I = 0, N = 1 + Random.uniformInt(4); I != N; ++I)
        Bytes[Random.uniformInt(Bytes.size())] =
            static_cast<char>(Random.next());
      FrameReader Reader;
      Reader.append(Bytes);
      std::vector<PeerMessage> Out;
      readAll(Reader, Out);
      CPPUNIT_ASSERT(Out.size() <= Bytes.size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameCodecTest);

} // namespace
