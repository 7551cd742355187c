#include "masticwinch/http/percent_encoding.hpp"

#include <curl/curl.h>

#include <cctype>
#include <memory>

namespace masticwinch {

namespace {

using CurlText = std::unique_ptr<char, decltype(&curl_free)>;

bool isHexDigit(char c) {
  return std::isxdigit(static_cast<unsigned char>(c)) != 0;
}

bool isWellFormed(std::string_view text) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      continue;
    }
    if (i + 2 >= text.size() || !isHexDigit(text[i + 1]) ||
        !isHexDigit(text[i + 2])) {
      return false;
    }
  }
  return true;
}

} // namespace

std::optional<std::string> percentDecode(std::string_view text) {
  if (!isWellFormed(text)) {
    return std::nullopt;
  }
  if (text.empty()) {
    return std::string();
  }
  int length = 0;
  const CurlText decoded(curl_easy_unescape(nullptr, text.data(),
                                            static_cast<int>(text.size()),
                                            &length),
                         &curl_free);
  if (!decoded) {
    return std::nullopt;
  }
  return std::string(decoded.get(), static_cast<std::size_t>(length));
}

std::string percentEncode(std::string_view text) {
  if (text.empty()) {
    return {};
  }
  const CurlText encoded(
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())),
      &curl_free);
  return encoded ? std::string(encoded.get()) : std::string();
}

} // namespace masticwinch
