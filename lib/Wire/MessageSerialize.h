#ifndef TEASELHITCH_LIB_WIRE_MESSAGESERIALIZE_H
#define TEASELHITCH_LIB_WIRE_MESSAGESERIALIZE_H

/// \file
/// Serialization with cereal of the types of Model/Messages.h and of the frame
/// payloads. Values that are out of range throw cereal::Exception.

#include "WireStrings.h"
#include "teaselhitch/Wire/FrameCodec.h"

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cmath>
#include <string_view>
#include <type_traits>

namespace teaselhitch {

/// Maximum length of a string in a frame. Prevents a length field from
/// allocating more than a frame can hold.
inline constexpr std::uint64_t MaxTextBytes = MaxFrameBytes;
inline constexpr std::uint64_t MaxHeaders = 1024;

template <typename ArchiveT>
inline constexpr bool IsLoadingArchive =
    std::is_base_of_v<cereal::detail::InputArchiveBase, ArchiveT>;

template <typename ArchiveT>
void serializeSize(ArchiveT &Ar, std::uint64_t &Size, std::uint64_t Max) {
  wire::serializeVarint(Ar, Size);
  if (Size > Max)
    throw cereal::Exception("size out of range");
}

template <typename ArchiveT>
void serializeText(ArchiveT &Ar, std::string &Text) {
  std::uint64_t Size = Text.size();
  serializeSize(Ar, Size, MaxTextBytes);
  if constexpr (IsLoadingArchive<ArchiveT>) {
    // A malformed size must not allocate more memory than bytes have arrived.
    constexpr std::uint64_t BlockBytes = 64ULL * 1024;
    Text.clear();
    while (Text.size() != Size) {
      std::uint64_t Loaded = Text.size();
      std::uint64_t Block = std::min(BlockBytes, Size - Loaded);
      Text.resize(Loaded + Block);
      Ar(cereal::binary_data(Text.data() + Loaded, Block));
    }
  } else {
    Ar(cereal::binary_data(Text.data(), Size));
  }
}

template <typename ArchiveT, typename Tag>
void serializeName(ArchiveT &Ar, Name<Tag> &N) {
  std::string Text = N.str();
  serializeText(Ar, Text);
  if constexpr (IsLoadingArchive<ArchiveT>) {
    if (!Text.empty() && !isValidName(Text))
      throw cereal::Exception("invalid name");
    N = Name<Tag>(std::move(Text));
  }
}

template <typename ArchiveT> void serializeDuration(ArchiveT &Ar, Duration &D) {
  double Ms = D.ms();
  Ar(Ms);
  // NaN and infinities would break the comparison of deadlines.
  constexpr double MaxMs = 1e12;
  if (!(Ms >= -MaxMs && Ms <= MaxMs))
    throw cereal::Exception("duration out of range");
  D = Duration(Ms);
}

/// Serializes a non-negative duration as whole milliseconds, rounded up, in
/// fewer bytes than serializeDuration().
template <typename ArchiveT>
void serializeMilliseconds(ArchiveT &Ar, Duration &D) {
  constexpr double MaxMs = 1e9;
  if (!(D.ms() >= 0 && D.ms() <= MaxMs))
    throw cereal::Exception("duration out of range");
  auto Ms = static_cast<std::uint64_t>(std::ceil(D.ms()));
  serializeSize(Ar, Ms, static_cast<std::uint64_t>(MaxMs));
  if constexpr (IsLoadingArchive<ArchiveT>)
    D = Duration(static_cast<double>(Ms));
}

template <typename ArchiveT, typename EnumT>
void serializeEnum(ArchiveT &Ar, EnumT &Value, EnumT Last) {
  auto Number = static_cast<std::uint8_t>(Value);
  Ar(Number);
  if (Number > static_cast<std::uint8_t>(Last))
    throw cereal::Exception("enumerator out of range");
  Value = static_cast<EnumT>(Number);
}

/// False for a header that would break the framing of an HTTP message. With a
/// line break in a header, a peer could inject a whole response.
inline bool isHeaderSafe(const Header &H) {
  return !H.Name.empty() &&
         H.Name.find_first_of(std::string_view("\r\n\0: ", 5)) ==
             std::string::npos &&
         H.Value.find_first_of(std::string_view("\r\n\0", 3)) ==
             std::string::npos;
}

/// The byte is checked before it becomes a bool, because a bool with a value
/// other than 0 and 1 is undefined behaviour.
template <typename ArchiveT> void serializeFlag(ArchiveT &Ar, bool &Flag) {
  std::uint8_t Byte = Flag ? 1 : 0;
  Ar(Byte);
  if (Byte > 1)
    throw cereal::Exception("flag out of range");
  Flag = Byte == 1;
}

template <typename ArchiveT>
void serializeHeaders(ArchiveT &Ar, HeaderList &Headers) {
  std::uint64_t Count = Headers.size();
  serializeSize(Ar, Count, MaxHeaders);
  Headers.resize(Count);
  for (Header &H : Headers) {
    serializeText(Ar, H.Name);
    serializeText(Ar, H.Value);
    if (!isHeaderSafe(H))
      throw cereal::Exception("invalid header");
  }
}

template <typename ArchiveT>
void serializeAttempt(ArchiveT &Ar, AttemptId &Id) {
  serializeName(Ar, Id.Request.Entry);
  wire::serializeVarint(Ar, Id.Request.Incarnation);
  wire::serializeVarint(Ar, Id.Request.Sequence);
  wire::serializeVarint(Ar, Id.Number);
}

template <typename ArchiveT>
void serializeBaseline(ArchiveT &Ar, ServiceBaseline &B) {
  Ar(B.ErrorRate, B.RunTimeMs, B.Weight);
  bool IsValid = B.ErrorRate >= 0 && B.ErrorRate <= 1 && B.RunTimeMs >= 0 &&
                 B.RunTimeMs < 1e9 && B.Weight >= 0 && B.Weight < 1e9;
  if (!IsValid)
    throw cereal::Exception("baseline out of range");
}

template <typename ArchiveT> void serializeLoad(ArchiveT &Ar, ServerLoad &L) {
  wire::serializeVarint(Ar, L.InProgress);
  wire::serializeVarint(Ar, L.Waiting);
  wire::serializeVarint(Ar, L.Slots);
  wire::serializeVarint(Ar, L.RiskPercent);
  constexpr std::uint32_t MaxPercent = 100;
  if (L.RiskPercent > MaxPercent)
    throw cereal::Exception("risk out of range");
}

template <typename ArchiveT> void serializeFields(ArchiveT &Ar, Hello &M) {
  serializeText(Ar, M.Fleet);
  serializeName(Ar, M.Node);
  Ar(M.Incarnation);
  serializeName(Ar, M.Domain);
  Ar(M.Protocol);
}

template <typename ArchiveT> void serializeFields(ArchiveT &Ar, Heartbeat &M) {
  Ar(M.Sequence);
  serializeFlag(Ar, M.IsReply);
}

template <typename ArchiveT> void serializeInfo(ArchiveT &Ar, DispatchInfo &I) {
  serializeAttempt(Ar, I.Attempt);
  serializeName(Ar, I.Service);
  serializeName(Ar, I.Rule);
  serializeName(Ar, I.Preferred);
  serializeName(Ar, I.Organisation);
  serializeFlag(Ar, I.Idempotent);
  serializeFlag(Ar, I.Paid);
  serializeFlag(Ar, I.IsRepeat);
  wire::serializeVarint(Ar, I.Priority);
  serializeFlag(Ar, I.Strict);
  serializeFlag(Ar, I.AvoidsRisk);
  wire::serializeVarint(Ar, I.MaxRiskPercent);
  wire::serializeVarint(Ar, I.Offers);
  serializeDuration(Ar, I.Objective);
  serializeDuration(Ar, I.ObjectiveLeft);
  serializeDuration(Ar, I.Remaining);
  serializeText(Ar, I.GuardKey);
  Ar(I.Fingerprint);
  wire::serializeVarint(Ar, I.BodyBytes);
  serializeBaseline(Ar, I.Baseline);
}

template <typename ArchiveT> void serializeFields(ArchiveT &Ar, Offer &M) {
  serializeInfo(Ar, M.Info);
}

template <typename ArchiveT> void serializeFields(ArchiveT &Ar, Grant &M) {
  serializeAttempt(Ar, M.Attempt);
  serializeLoad(Ar, M.Load);
}

template <typename ArchiveT> void serializeFields(ArchiveT &Ar, Dispatch &M) {
  serializeInfo(Ar, M.Info);
  serializeText(Ar, M.Request.Method);
  serializeText(Ar, M.Request.Target);
  serializeHeaders(Ar, M.Request.Headers);
}

template <typename ArchiveT> void serializeFields(ArchiveT &Ar, Cancel &M) {
  serializeAttempt(Ar, M.Attempt);
}

template <typename ArchiveT> void serializeFields(ArchiveT &Ar, MintKey &M) {
  Ar(M.Token);
  serializeName(Ar, M.Service);
}

template <typename ArchiveT>
void serializeFields(ArchiveT &Ar, AttemptFailed &M) {
  serializeAttempt(Ar, M.Attempt);
  serializeEnum(Ar, M.Cause, LastReason);
  serializeEnum(Ar, M.Result, Outcome::Unknown);
  serializeDuration(Ar, M.RetryAfter);
  serializeFlag(Ar, M.Crashed);
  serializeLoad(Ar, M.Load);
}

template <typename ArchiveT>
void serializeFields(ArchiveT &Ar, AttemptAnswer &M) {
  serializeAttempt(Ar, M.Attempt);
  serializeName(Ar, M.Server);
  serializeLoad(Ar, M.Load);
  serializeDuration(Ar, M.RunTime);
  Ar(M.Answer.Status);
  // An interim response (1xx) or a status that HTTP does not define must not
  // reach a caller as the response.
  constexpr unsigned FirstStatus = 200, LastStatus = 599;
  if (M.Answer.Status < FirstStatus || M.Answer.Status > LastStatus)
    throw cereal::Exception("status out of range");
  serializeHeaders(Ar, M.Answer.Headers);
}

template <typename ArchiveT>
void serializeFields(ArchiveT &Ar, AttemptOverdue &M) {
  serializeAttempt(Ar, M.Attempt);
  serializeLoad(Ar, M.Load);
}

template <typename ArchiveT> void serializeFields(ArchiveT &Ar, KeyMinted &M) {
  Ar(M.Token);
  serializeText(Ar, M.Key);
  serializeDuration(Ar, M.ValidFor);
}

template <typename ArchiveT>
void serializeFields(ArchiveT &Ar, PieceRequest &M) {
  serializeText(Ar, M.Hash);
}

template <typename ArchiveT> void serializeFields(ArchiveT &Ar, Piece &M) {
  serializeText(Ar, M.Hash);
  serializeText(Ar, M.Bytes);
}

template <typename ArchiveT>
void serializeFields(ArchiveT &Ar, CreditRequest &M) {
  serializeName(Ar, M.Organisation);
  wire::serializeVarint(Ar, M.Amount);
  wire::serializeVarint(Ar, M.Returned);
}

template <typename ArchiveT>
void serializeFields(ArchiveT &Ar, CreditReply &M) {
  serializeName(Ar, M.Organisation);
  wire::serializeVarint(Ar, M.Amount);
  serializeMilliseconds(Ar, M.Lifetime);
  serializeMilliseconds(Ar, M.RetryAfter);
}

template <typename ArchiveT>
void serializeDepartures(ArchiveT &Ar, std::vector<DepartedServer> &Servers) {
  std::uint64_t Count = Servers.size();
  serializeSize(Ar, Count, MaxDepartedServers);
  Servers.resize(Count);
  for (DepartedServer &S : Servers) {
    serializeName(Ar, S.Name);
    if (S.Name.empty())
      throw cereal::Exception("empty name");
    bool HasIncarnation = S.Incarnation.has_value();
    serializeFlag(Ar, HasIncarnation);
    if (!HasIncarnation)
      continue;
    std::uint64_t Incarnation = S.Incarnation.value_or(0);
    wire::serializeVarint(Ar, Incarnation);
    S.Incarnation = Incarnation;
  }
}

template <typename ArchiveT>
void serializeFields(ArchiveT &Ar, DepartureCopy &M) {
  serializeDepartures(Ar, M.Servers);
}

template <typename ArchiveT>
void serializeFields(ArchiveT &Ar, DepartureCopyKept &M) {
  serializeDepartures(Ar, M.Servers);
}

} // namespace teaselhitch

#endif
