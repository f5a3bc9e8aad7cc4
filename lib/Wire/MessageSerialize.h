#ifndef TEASELHITCH_LIB_WIRE_MESSAGESERIALIZE_H
#define TEASELHITCH_LIB_WIRE_MESSAGESERIALIZE_H

/// \file
/// Cereal functions for the types of Model/Messages.h and the frames. Loading
/// throws cereal::Exception on values that are out of range.

#include "WireStrings.h"
#include "teaselhitch/Wire/FrameCodec.h"

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <string_view>
#include <type_traits>

namespace teaselhitch {

/// Greatest length of a text in a frame; guards against a length field that
/// would allocate more than the frame can hold.
inline constexpr std::uint64_t MaxTextBytes = MaxFrameBytes;
inline constexpr std::uint64_t MaxHeaders = 1024;

template <typename ArchiveT>
inline constexpr bool IsLoadingArchive =
    std::is_base_of_v<cereal::detail::InputArchiveBase, ArchiveT>;

template <typename ArchiveT>
void codeSize(ArchiveT &Ar, std::uint64_t &Size, std::uint64_t Max) {
  wire::codeVarint(Ar, Size);
  if (Size > Max)
    throw cereal::Exception("size out of range");
}

template <typename ArchiveT> void codeText(ArchiveT &Ar, std::string &Text) {
  std::uint64_t Size = Text.size();
  codeSize(Ar, Size, MaxTextBytes);
  Text.resize(Size);
  Ar(cereal::binary_data(Text.data(), Size));
}

template <typename ArchiveT, typename Tag>
void codeName(ArchiveT &Ar, Name<Tag> &N) {
  std::string Text = N.str();
  codeText(Ar, Text);
  if constexpr (IsLoadingArchive<ArchiveT>) {
    if (!Text.empty() && !isValidName(Text))
      throw cereal::Exception("invalid name");
    N = Name<Tag>(std::move(Text));
  }
}

template <typename ArchiveT> void codeDuration(ArchiveT &Ar, Duration &D) {
  double Ms = D.ms();
  Ar(Ms);
  // Not a number and infinities would upset comparisons of deadlines.
  constexpr double MaxMs = 1e12;
  if (!(Ms >= -MaxMs && Ms <= MaxMs))
    throw cereal::Exception("duration out of range");
  D = Duration(Ms);
}

template <typename ArchiveT, typename EnumT>
void codeEnum(ArchiveT &Ar, EnumT &Value, EnumT Last) {
  auto Number = static_cast<std::uint8_t>(Value);
  Ar(Number);
  if (Number > static_cast<std::uint8_t>(Last))
    throw cereal::Exception("enumerator out of range");
  Value = static_cast<EnumT>(Number);
}

/// A line break in a header of a peer would let it write a whole answer.
inline bool isHeaderSafe(const Header &H) {
  return !H.Name.empty() &&
         H.Name.find_first_of(std::string_view("\r\n\0: ", 5)) ==
             std::string::npos &&
         H.Value.find_first_of(std::string_view("\r\n\0", 3)) ==
             std::string::npos;
}

/// Any other byte than 0 and 1 in a bool is undefined behaviour.
template <typename ArchiveT> void codeFlag(ArchiveT &Ar, bool &Flag) {
  std::uint8_t Byte = Flag ? 1 : 0;
  Ar(Byte);
  if (Byte > 1)
    throw cereal::Exception("flag out of range");
  Flag = Byte == 1;
}

template <typename ArchiveT>
void codeHeaders(ArchiveT &Ar, HeaderList &Headers) {
  std::uint64_t Count = Headers.size();
  codeSize(Ar, Count, MaxHeaders);
  Headers.resize(Count);
  for (Header &H : Headers) {
    codeText(Ar, H.Name);
    codeText(Ar, H.Value);
    if (!isHeaderSafe(H))
      throw cereal::Exception("invalid header");
  }
}

template <typename ArchiveT> void codeAttempt(ArchiveT &Ar, AttemptId &Id) {
  codeName(Ar, Id.Request.Entry);
  wire::codeVarint(Ar, Id.Request.Incarnation);
  wire::codeVarint(Ar, Id.Request.Sequence);
  wire::codeVarint(Ar, Id.Number);
}

template <typename ArchiveT>
void codeBaseline(ArchiveT &Ar, ServiceBaseline &B) {
  Ar(B.ErrorRate, B.RunTimeMs, B.Weight);
  bool IsValid = B.ErrorRate >= 0 && B.ErrorRate <= 1 && B.RunTimeMs >= 0 &&
                 B.RunTimeMs < 1e9 && B.Weight >= 0 && B.Weight < 1e9;
  if (!IsValid)
    throw cereal::Exception("baseline out of range");
}

template <typename ArchiveT> void codeLoad(ArchiveT &Ar, ServerLoad &L) {
  wire::codeVarint(Ar, L.InProgress);
  wire::codeVarint(Ar, L.Waiting);
  wire::codeVarint(Ar, L.Slots);
  wire::codeVarint(Ar, L.RiskPercent);
  constexpr std::uint32_t MaxPercent = 100;
  if (L.RiskPercent > MaxPercent)
    throw cereal::Exception("risk out of range");
}

template <typename ArchiveT> void codeFields(ArchiveT &Ar, Hello &M) {
  codeText(Ar, M.Fleet);
  codeName(Ar, M.Node);
  Ar(M.Incarnation);
  codeName(Ar, M.Domain);
  Ar(M.Protocol);
}

template <typename ArchiveT> void codeFields(ArchiveT &Ar, Heartbeat &M) {
  Ar(M.Sequence);
  codeFlag(Ar, M.IsReply);
}

template <typename ArchiveT> void codeInfo(ArchiveT &Ar, DispatchInfo &I) {
  codeAttempt(Ar, I.Attempt);
  codeName(Ar, I.Service);
  codeName(Ar, I.Rule);
  codeName(Ar, I.Preferred);
  codeName(Ar, I.Organisation);
  codeFlag(Ar, I.Idempotent);
  codeFlag(Ar, I.Paid);
  wire::codeVarint(Ar, I.Priority);
  codeFlag(Ar, I.Strict);
  codeFlag(Ar, I.AvoidsRisk);
  wire::codeVarint(Ar, I.MaxRiskPercent);
  wire::codeVarint(Ar, I.Offers);
  codeDuration(Ar, I.Objective);
  codeDuration(Ar, I.ObjectiveLeft);
  codeDuration(Ar, I.Remaining);
  codeText(Ar, I.GuardKey);
  Ar(I.Fingerprint);
  codeBaseline(Ar, I.Baseline);
}

template <typename ArchiveT> void codeFields(ArchiveT &Ar, Offer &M) {
  codeInfo(Ar, M.Info);
}

template <typename ArchiveT> void codeFields(ArchiveT &Ar, Grant &M) {
  codeAttempt(Ar, M.Attempt);
  codeLoad(Ar, M.Load);
}

template <typename ArchiveT> void codeFields(ArchiveT &Ar, Dispatch &M) {
  codeInfo(Ar, M.Info);
  codeText(Ar, M.Request.Method);
  codeText(Ar, M.Request.Target);
  codeHeaders(Ar, M.Request.Headers);
  codeText(Ar, M.Request.Body);
}

template <typename ArchiveT> void codeFields(ArchiveT &Ar, Cancel &M) {
  codeAttempt(Ar, M.Attempt);
}

template <typename ArchiveT> void codeFields(ArchiveT &Ar, MintKey &M) {
  Ar(M.Token);
  codeName(Ar, M.Service);
}

template <typename ArchiveT> void codeFields(ArchiveT &Ar, AttemptFailed &M) {
  codeAttempt(Ar, M.Attempt);
  codeEnum(Ar, M.Cause, LastReason);
  codeEnum(Ar, M.Result, Outcome::Unknown);
  codeDuration(Ar, M.RetryAfter);
  codeFlag(Ar, M.Crashed);
  codeLoad(Ar, M.Load);
}

template <typename ArchiveT> void codeFields(ArchiveT &Ar, AttemptAnswer &M) {
  codeAttempt(Ar, M.Attempt);
  codeName(Ar, M.RanOn);
  codeLoad(Ar, M.Load);
  codeDuration(Ar, M.RunTime);
  Ar(M.Answer.Status);
  constexpr unsigned FirstStatus = 100, LastStatus = 599;
  if (M.Answer.Status < FirstStatus || M.Answer.Status > LastStatus)
    throw cereal::Exception("status out of range");
  codeHeaders(Ar, M.Answer.Headers);
  codeText(Ar, M.Answer.Body);
}

template <typename ArchiveT> void codeFields(ArchiveT &Ar, AttemptOverdue &M) {
  codeAttempt(Ar, M.Attempt);
  codeLoad(Ar, M.Load);
}

template <typename ArchiveT> void codeFields(ArchiveT &Ar, KeyMinted &M) {
  Ar(M.Token);
  codeText(Ar, M.Key);
  codeDuration(Ar, M.ValidFor);
}

template <typename ArchiveT> void codeFields(ArchiveT &Ar, PieceRequest &M) {
  codeText(Ar, M.Hash);
}

template <typename ArchiveT> void codeFields(ArchiveT &Ar, Piece &M) {
  codeText(Ar, M.Hash);
  codeText(Ar, M.Bytes);
}

} // namespace teaselhitch

#endif
