#include "masticwinch/events/internal/bounded_output_sink.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace masticwinch::internal {

namespace {

constexpr Milliseconds Window{1000};
/// Part of the rate that routine lines may use, in thousandths.
constexpr std::size_t RoutinePermille = 800;

} // namespace

BoundedOutputSink::BoundedOutputSink(std::size_t linesPerSecond,
                                     const Clock &clock)
    : LinesPerSecond(linesPerSecond), Time(clock) {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

bool BoundedOutputSink::admit(LineClass lineClass) {
  const std::size_t limit = lineClass == LineClass::Routine
                                ? LinesPerSecond * RoutinePermille / 1000
                                : LinesPerSecond;
  const SteadyTime now = Time.now();
  const std::lock_guard<std::mutex> lock(RateMutex);
  if (now - WindowStart >= Window) {
    WindowStart = now;
    LinesInWindow = 0;
  }
  if (LinesInWindow >= limit) {
    Dropped += 1;
    Unreported += 1;
    return false;
  }
  ++LinesInWindow;
  return true;
}

/// Returns false, which counts the line as dropped, also if it was written only
/// in part because the reader is slow.
bool BoundedOutputSink::write(const char *data, std::size_t bytes) {
  const ssize_t written = ::write(STDOUT_FILENO, data, bytes);
  return written == static_cast<ssize_t>(bytes);
}

void BoundedOutputSink::sink_it_(const spdlog::details::log_msg &message) {
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (!write(line.data(), line.size())) {
    Dropped += 1;
    Unreported += 1;
    return;
  }
  if (const std::uint64_t dropped = Unreported.exchange(0); dropped > 0) {
    const std::string notice =
        fmt::format("event=log_lines_dropped count={}\n", dropped);
    if (!write(notice.data(), notice.size())) {
      Unreported += dropped;
    }
  }
}

} // namespace masticwinch::internal
