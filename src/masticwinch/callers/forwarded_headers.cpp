#include "masticwinch/callers/forwarded_headers.hpp"

#include "masticwinch/callers/outcome.hpp"

#include <algorithm>
#include <cctype>
#include <iterator>

namespace masticwinch::callers {

namespace {

bool equalsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

bool isHopByHop(std::string_view name) {
  constexpr std::string_view Names[] = {
      "connection",     "keep-alive", "proxy-connection", "transfer-encoding",
      "upgrade",        "te",         "trailer",          "host",
      "content-length", "expect"};
  return std::any_of(
      std::begin(Names), std::end(Names),
      [&](std::string_view it) { return equalsIgnoreCase(it, name); });
}

bool isReplyMetadata(std::string_view name) {
  constexpr std::string_view Names[] = {OutcomeHeader, AttemptsHeader,
                                        RequestIdHeader};
  return std::any_of(
      std::begin(Names), std::end(Names),
      [&](std::string_view it) { return equalsIgnoreCase(it, name); });
}

} // namespace

HttpHeaders headersToUpstream(const HttpHeaders &headers) {
  HttpHeaders forwarded;
  for (const HttpHeader &it : headers.lines()) {
    if (!isHopByHop(it.Name)) {
      forwarded.add(it.Name, it.Value);
    }
  }
  return forwarded;
}

HttpHeaders headersToCaller(const HttpHeaders &headers) {
  HttpHeaders forwarded;
  for (const HttpHeader &it : headers.lines()) {
    if (!isHopByHop(it.Name) && !isReplyMetadata(it.Name)) {
      forwarded.add(it.Name, it.Value);
    }
  }
  return forwarded;
}

} // namespace masticwinch::callers
