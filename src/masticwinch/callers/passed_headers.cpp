#include "masticwinch/callers/passed_headers.hpp"

#include "masticwinch/callers/outcome.hpp"

#include <algorithm>
#include <cctype>
#include <iterator>

namespace masticwinch::callers {

namespace {

bool sameName(std::string_view a, std::string_view b) {
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
  return std::any_of(std::begin(Names), std::end(Names),
                     [&](std::string_view it) { return sameName(it, name); });
}

bool isOwn(std::string_view name) {
  constexpr std::string_view Names[] = {OutcomeHeader, AttemptsHeader,
                                        RequestIdHeader};
  return std::any_of(std::begin(Names), std::end(Names),
                     [&](std::string_view it) { return sameName(it, name); });
}

} // namespace

HttpHeaders headersToUpstream(const HttpHeaders &headers) {
  HttpHeaders passed;
  for (const HttpHeader &it : headers.lines()) {
    if (!isHopByHop(it.Name)) {
      passed.add(it.Name, it.Value);
    }
  }
  return passed;
}

HttpHeaders headersToCaller(const HttpHeaders &headers) {
  HttpHeaders passed;
  for (const HttpHeader &it : headers.lines()) {
    if (!isHopByHop(it.Name) && !isOwn(it.Name)) {
      passed.add(it.Name, it.Value);
    }
  }
  return passed;
}

} // namespace masticwinch::callers
