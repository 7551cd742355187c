#pragma once

#include <string>

namespace masticwinch::operators {

/// Returns 32 random hexadecimal digits from `std::random_device`.
std::string randomRequestId();

} // namespace masticwinch::operators
