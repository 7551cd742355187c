#pragma once

#include <string>

namespace masticwinch {

struct LoadResult;

/// One HTML page without outside resources: a table of outcomes and plots of
/// rates and latencies over time and of latency by percentile.
std::string renderLoadReport(const LoadResult &result);

} // namespace masticwinch
