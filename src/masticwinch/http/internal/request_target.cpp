#include "masticwinch/http/internal/request_target.hpp"

#include "masticwinch/http/http_message.hpp"

#include <algorithm>

namespace masticwinch::internal {

namespace {

constexpr std::string_view Scheme = "http://";

} // namespace

RequestTarget splitTarget(std::string_view target) {
  RequestTarget parts;
  target = target.substr(0, target.find('#'));
  if (equalHeaderNames(target.substr(0, Scheme.size()), Scheme)) {
    target.remove_prefix(Scheme.size());
    parts.Authority =
        target.substr(0, std::min(target.find_first_of("/?"), target.size()));
    target.remove_prefix(parts.Authority.size());
    parts.Authority.remove_prefix(parts.Authority.find('@') + 1);
  }
  const std::size_t question = std::min(target.find('?'), target.size());
  parts.Path = target.substr(0, question);
  if (parts.Path.empty() && !parts.Authority.empty()) {
    parts.Path = "/";
  }
  parts.Query = target.substr(std::min(question + 1, target.size()));
  return parts;
}

} // namespace masticwinch::internal
