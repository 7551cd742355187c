#pragma once

#include <string>
#include <string_view>

namespace masticwinch {

/// Escapes `<`, `&` and double quotes for use in HTML and SVG.
std::string escapeMarkup(std::string_view text);

} // namespace masticwinch
