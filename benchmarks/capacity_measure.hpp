#pragma once

#include <fmt/format.h>
#include <malloc.h>

#include <cstdint>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

namespace masticwinch::capacity {

/// Prints one figure in the form that scripts/bench reads.
inline void printFigure(const std::string &name, double value,
                        const std::string &unit) {
  std::fputs(fmt::format("figure={} value={:.6g} unit={}\n", name, value, unit)
                 .c_str(),
             stdout);
  std::fflush(stdout);
}

/// Processor time of this process in microseconds.
inline double processorMicroseconds() {
  constexpr double PerSecond = 1e6;
  constexpr double NanosecondsPerMicrosecond = 1e3;
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return double(time.tv_sec) * PerSecond +
         double(time.tv_nsec) / NanosecondsPerMicrosecond;
}

/// Bytes that the allocator has handed out to the process.
inline double heapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return double(info.uordblks) + double(info.hblkhd);
}

/// A measured value at one problem size.
struct Sample {
  double Size = 0;
  double Value = 0;
};

/// Slope of the value over the size, by least squares.
inline double slopeOf(const std::vector<Sample> &samples) {
  double sizes = 0;
  double values = 0;
  for (const Sample &it : samples) {
    sizes += it.Size / double(samples.size());
    values += it.Value / double(samples.size());
  }
  double products = 0;
  double squares = 0;
  for (const Sample &it : samples) {
    products += (it.Size - sizes) * (it.Value - values);
    squares += (it.Size - sizes) * (it.Size - sizes);
  }
  return products / squares;
}

/// Prints every sample and the slope.
inline void printSamples(const std::string &name,
                         const std::vector<Sample> &samples,
                         const std::string &unit, const std::string &per) {
  for (const Sample &it : samples) {
    printFigure(fmt::format("{}_at_{:.0f}", name, it.Size), it.Value, unit);
  }
  printFigure(name + "_slope", slopeOf(samples), unit + "/" + per);
}

} // namespace masticwinch::capacity
