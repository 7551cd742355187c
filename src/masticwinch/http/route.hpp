#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace masticwinch {

/// The segments of a path that matched a pattern's placeholders, in order.
using RouteMatch = std::vector<std::string>;

/// Whether a path matches a pattern such as `/v1/profiles/{}/history`, in which
/// `{}` stands for one non-empty segment and a `**` at the end for the rest.
/// The matched segments are stored in `match`.
bool matchRoute(std::string_view pattern, std::string_view path,
                RouteMatch &match);

} // namespace masticwinch
