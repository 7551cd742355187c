#pragma once

#include <string>

namespace masticwinch {

struct LoadResult;

/// Renders a self-contained HTML page with a table of outcomes and plots of
/// rates and latencies over time and of latency by percentile.
std::string renderLoadReport(const LoadResult &result);

} // namespace masticwinch
