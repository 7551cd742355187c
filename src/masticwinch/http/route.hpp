#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace masticwinch {

/// What of a path matched a pattern's placeholders, in order: segments are
/// percent-decoded, the rest of a path is as sent.
using RouteMatch = std::vector<std::string>;

/// Whether a path, as sent, matches a pattern such as
/// `/v1/profiles/{}/history`, in which
/// `{}` stands for one non-empty segment and a `**` at the end for the rest.
/// The matched segments are stored in `match`.
bool matchRoute(std::string_view pattern, std::string_view path,
                RouteMatch &match);

} // namespace masticwinch
