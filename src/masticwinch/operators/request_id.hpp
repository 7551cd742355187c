#pragma once

#include <string>

namespace masticwinch::operators {

/// An id of 32 random hexadecimal digits from the system's random source.
std::string randomRequestId();

} // namespace masticwinch::operators
