#pragma once

#include <string>
#include <string_view>

namespace masticwinch {

/// Text with the characters replaced that have a meaning in HTML and SVG.
std::string escapeMarkup(std::string_view text);

} // namespace masticwinch
