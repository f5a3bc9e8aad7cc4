#include "teaselhitch/Support/Base64.h"

#include <openssl/evp.h>

namespace teaselhitch {

std::string encodeBase64(std::string_view Bytes) {
  // EVP_EncodeBlock writes four characters for every three bytes, rounded up,
  // and a terminating null character.
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  std::string Bytes(Text.size() / 4 * 3, '\0');
  int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  // EVP_DecodeBlock includes the bytes of the padding in the returned length.
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(static_cast<std::size_t>(Length) - Padding);
  return Bytes;
}

} // namespace teaselhitch
