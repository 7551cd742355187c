#include "masticwinch/load/load_generator.hpp"
#include "masticwinch/load/load_report.hpp"
#include "masticwinch/programs/tool_command_line.hpp"
#include "masticwinch/settings/settings_error.hpp"

#include <asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(plan, "", "JSON file of the load plan; plans/ has several");
DEFINE_string(
    targets, "",
    "base URLs of the entry VMs, comma-separated; requests take turns");
DEFINE_uint64(rate_percent, 100, "share of the plan's rates that is sent");
DEFINE_uint64(seed, 0, "replaces the plan's seed if it is not 0");
DEFINE_string(json, "", "file for the result as JSON; - is standard output");
DEFINE_string(report, "", "file for the result as one HTML page with plots");

namespace masticwinch {

namespace {

const char *const Usage =
    R"(masticwinch-load --plan FILE --targets URL[,URL...] [FLAGS]

Sends a load plan's requests at the planned times, whether or not earlier ones
were answered (open loop), and counts latency from the planned time. So a
system that stalls is charged for everything that waits. Each request has a body
of its own, and a 2xx answer that does not repeat it is counted as wrong.

Examples:
  A look at an idle cell:
    masticwinch-load --plan plans/steady.json --targets http://127.0.0.1:7401
  The Monday surge at twice its size over three entry VMs, with a page of plots:
    masticwinch-load --plan plans/monday-dawn.json --rate_percent 200 \
      --targets http://10.0.0.1:7401,http://10.0.0.2:7401,http://10.0.0.3:7401 \
      --json monday.json --report monday.html

Reading the result: `answered` is goodput; `not_run` was refused and may be sent
again at once or after Retry-After; `max_generator_lag_seconds` is this
program's own delay: if it nears the latencies, the generator was too slow and
the run says nothing about the system. docs/load.md explains plans.

Exit code: 0, 1 for wrong flags or a wrong plan, 2 if any answer was wrong.
)";

constexpr int ExitWrongAnswer = 2;
constexpr double Percent = 100;

std::vector<std::string> splitTargets(const std::string &text) {
  std::vector<std::string> targets;
  std::istringstream in(text);
  for (std::string it; std::getline(in, it, ',');) {
    if (!it.empty()) {
      targets.push_back(it);
    }
  }
  return targets;
}

bool writeFile(const std::string &file, const std::string &content) {
  std::ofstream out(file, std::ios::binary);
  out << content;
  out.close();
  if (!out) {
    std::cerr << file << ": can't be written\n";
  }
  return bool(out);
}

void printSummary(const LoadResult &result) {
  constexpr double MillisPerSecond = 1000;
  for (const auto &it : result.Streams) {
    std::cout << fmt::format("stream={} sent={} resends={}", it->name(),
                             it->sent(), it->resends());
    for (const auto &outcome : EnumNames<LoadOutcome>::Table) {
      std::cout << fmt::format(" {}={}", outcome.Name,
                               it->ended(outcome.Value));
    }
    std::cout << fmt::format(
        " p50_ms={:.3f} p99_ms={:.3f} p999_ms={:.3f} max_lag_ms={:.3f}\n",
        it->latency().quantile(0.5) * MillisPerSecond,
        it->latency().quantile(0.99) * MillisPerSecond,
        it->latency().quantile(0.999) * MillisPerSecond,
        it->maxLag() * MillisPerSecond);
  }
}

bool writeOutputs(const LoadResult &result) {
  const std::string json = result.json().dump(2) + "\n";
  bool written = true;
  if (FLAGS_json == "-") {
    std::cout << json;
  } else {
    printSummary(result);
    written = FLAGS_json.empty() || writeFile(FLAGS_json, json);
  }
  return (FLAGS_report.empty() ||
          writeFile(FLAGS_report, renderLoadReport(result))) &&
         written;
}

bool hasWrongAnswer(const LoadResult &result) {
  for (const auto &it : result.Streams) {
    if (it->ended(LoadOutcome::WrongAnswer) > 0) {
      return true;
    }
  }
  return false;
}

Result<int> run(std::vector<std::string> targets) {
  BOOST_LEAF_AUTO(plan, loadPlanFromFile(FLAGS_plan));
  plan.scaleRates(double(FLAGS_rate_percent) / Percent);
  plan.Seed = FLAGS_seed == 0 ? plan.Seed : FLAGS_seed;
  const OperatingSystemClock clock;
  asio::io_context context;
  LoadGenerator generator(context, clock, std::move(plan), std::move(targets));
  generator.start();
  context.run();
  const LoadResult result = generator.takeResult();
  if (!writeOutputs(result)) {
    return EXIT_FAILURE;
  }
  return hasWrongAnswer(result) ? ExitWrongAnswer : EXIT_SUCCESS;
}

} // namespace

} // namespace masticwinch

int main(int argc, char **argv) {
  using namespace masticwinch;
  parseCommandLine(Usage, "programs/load", argc, argv);
  std::vector<std::string> targets = splitTargets(FLAGS_targets);
  if (FLAGS_plan.empty() || targets.empty()) {
    return reportFailure("--plan and --targets are needed; --help explains");
  }
  return boost::leaf::try_handle_all(
      [&] { return run(std::move(targets)); },
      [](const SettingsError &error) { return reportFailure(error.text()); },
      [] { return reportFailure("failed"); });
}
