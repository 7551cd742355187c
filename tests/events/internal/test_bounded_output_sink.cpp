#include "masticwinch/common/manual_clock.hpp"
#include "masticwinch/events/internal/bounded_output_sink.hpp"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace masticwinch;
using namespace masticwinch::internal;

namespace {

constexpr std::size_t LinesPerSecond = 100;

/// The sink makes standard output non-blocking, for the whole test program.
struct KeptOutputFlags {
  KeptOutputFlags() : Flags(fcntl(STDOUT_FILENO, F_GETFL)) {}
  ~KeptOutputFlags() { fcntl(STDOUT_FILENO, F_SETFL, Flags); }
  KeptOutputFlags(const KeptOutputFlags &) = delete;
  KeptOutputFlags &operator=(const KeptOutputFlags &) = delete;

  int Flags;
};

} // namespace

// At full load the leader's reports were dropped with the lines of single runs.
TEST_CASE("Regular reports are written although frequent events exceed their "
          "part of the rate",
          "[events]") {
  const KeptOutputFlags flags;
  ManualClock clock;
  BoundedOutputSink sink(LinesPerSecond, clock);
  std::size_t frequent = 0;
  for (std::size_t i = 0; i < 10 * LinesPerSecond; ++i) {
    frequent += sink.admit(LineClass::Routine) ? 1 : 0;
  }
  std::size_t reports = 0;
  for (std::size_t i = 0; i < LinesPerSecond; ++i) {
    reports += sink.admit(LineClass::Process) ? 1 : 0;
  }
  CHECK(frequent + reports == LinesPerSecond);
  CHECK(reports == LinesPerSecond / 5);
  clock.advance(std::chrono::seconds(1));
  CHECK(sink.admit(LineClass::Routine));
}
