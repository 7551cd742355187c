#include "masticwinch/http/internal/expectation_watch.hpp"

#include "masticwinch/http/http_message.hpp"

#include <algorithm>
#include <utility>

namespace masticwinch::internal {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadersEnd = "\r\n\r\n";

std::string_view trimmed(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool statesExpectation(std::string_view headers) {
  while (!headers.empty()) {
    const std::string_view line = headers.substr(0, headers.find(LineEnd));
    if (line.ends_with(" HTTP/1.0")) {
      return false;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos &&
        equalHeaderNames(line.substr(0, colon), "Expect") &&
        equalHeaderNames(trimmed(line.substr(colon + 1)), "100-continue")) {
      return true;
    }
    headers.remove_prefix(
        std::min(headers.size(), line.size() + LineEnd.size()));
  }
  return false;
}

} // namespace

bool ExpectationWatch::receive(std::string_view bytes) {
  if (Received.size() + bytes.size() > MaxHeaderBytes) {
    Received = std::string();
  }
  Received +=
      bytes.substr(bytes.size() - std::min(bytes.size(), MaxHeaderBytes));
  const std::size_t end = Received.rfind(HeadersEnd);
  if (end == std::string::npos) {
    return false;
  }
  // Before the headers, the end of a body may have arrived.
  const std::string all = std::exchange(Received, std::string());
  if (end + HeadersEnd.size() != all.size()) {
    return false;
  }
  const std::size_t before =
      end == 0 ? std::string::npos : all.rfind(HeadersEnd, end - 1);
  const std::size_t first =
      before == std::string::npos ? 0 : before + HeadersEnd.size();
  return statesExpectation(std::string_view(all).substr(first));
}

} // namespace masticwinch::internal
