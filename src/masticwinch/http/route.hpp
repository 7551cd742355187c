#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace masticwinch {

/// Values of a pattern's placeholders, in order. Segments are percent-decoded;
/// the remainder that `**` matches is as sent.
using RouteMatch = std::vector<std::string>;

/// Whether a path, as sent, matches a pattern such as
/// `/v1/profiles/{}/history`. `{}` matches one non-empty segment and a final
/// `**` the remainder of the path. The matched values are stored in `match`.
bool matchRoute(std::string_view pattern, std::string_view path,
                RouteMatch &match);

} // namespace masticwinch
