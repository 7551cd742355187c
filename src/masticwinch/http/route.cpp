#include "masticwinch/http/route.hpp"

#include "masticwinch/http/percent_encoding.hpp"

namespace masticwinch {

namespace {

/// Removes the first segment, with its leading slash, from a path.
std::string_view takeSegment(std::string_view &path) {
  const std::size_t end = path.find('/', 1);
  const std::string_view segment = path.substr(0, end);
  path.remove_prefix(segment.size());
  return segment;
}

} // namespace

bool matchRoute(std::string_view pattern, std::string_view path,
                RouteMatch &match) {
  match.clear();
  while (!pattern.empty()) {
    const std::string_view expected = takeSegment(pattern);
    if (expected == "/**") {
      match.emplace_back(path);
      return true;
    }
    if (path.empty()) {
      return false;
    }
    const std::string_view segment = takeSegment(path);
    if (expected == "/{}" && segment.size() > 1) {
      match.push_back(percentDecode(segment.substr(1)).value_or(""));
    } else if (expected != segment) {
      return false;
    }
  }
  return path.empty();
}

} // namespace masticwinch
