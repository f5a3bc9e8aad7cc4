#include "teaselhitch/Support/Hash.h"

#define XXH_INLINE_ALL
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cassert>
#include <xxhash.h>

namespace teaselhitch {

namespace {

std::string toHex(const unsigned char *Bytes, std::size_t Size) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(Size * 2);
  for (std::size_t I = 0; I != Size; ++I) {
    Text += Digits[Bytes[I] >> 4];
    Text += Digits[Bytes[I] & 15];
  }
  return Text;
}

} // namespace

std::string sha256Hex(std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  [[maybe_unused]] int Ok = EVP_Digest(Data.data(), Data.size(), Digest.data(),
                                       &Size, EVP_sha256(), nullptr);
  assert(Ok == 1 && "SHA-256 of an in-memory buffer cannot fail");
  return toHex(Digest.data(), Size);
}

std::string hmacSha256Hex(std::string_view Key, std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  [[maybe_unused]] unsigned char *Ok =
      HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
           reinterpret_cast<const unsigned char *>(Data.data()), Data.size(),
           Digest.data(), &Size);
  assert(Ok != nullptr && "HMAC of an in-memory buffer cannot fail");
  return toHex(Digest.data(), Size);
}

bool equalConstantTime(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

std::uint64_t hash64(std::string_view Data) {
  return XXH3_64bits(Data.data(), Data.size());
}

std::uint64_t hash64(std::string_view First, std::string_view Second) {
  XXH3_state_t State;
  XXH3_64bits_reset(&State);
  XXH3_64bits_update(&State, First.data(), First.size());
  XXH3_64bits_update(&State, Second.data(), Second.size());
  return XXH3_64bits_digest(&State);
}

} // namespace teaselhitch
