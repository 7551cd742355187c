#include "masticwinch/programs/tool_command_line.hpp"
#include "masticwinch/timeline/event_merge.hpp"
#include "masticwinch/timeline/timeline_writers.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(format, "text", "text, json (one object a line) or html");
DEFINE_string(request, "", "show only events of this request");
DEFINE_string(job, "", "show only events of this job");
DEFINE_string(task, "", "show only events of this task");
DEFINE_string(attempt, "", "show only events of this attempt");
DEFINE_string(vm, "", "show only events of this process, worker or upstream");
DEFINE_string(revision, "",
              "show only events of this version of a profile or revision of "
              "the configuration");
DEFINE_string(event, "", "show only events of this name");
DEFINE_string(from, "",
              "first moment shown, 2026-12-03T20:00:00.250Z or "
              "milliseconds since 1970");
DEFINE_string(to, "", "last moment shown, in the same form");
DEFINE_uint64(html_limit, 20000, "events shown on an HTML page at most");

namespace masticwinch {

namespace {

const char *const Usage = R"(masticwinch-timeline [FLAGS] FOLDER_OR_FILE...

Merges the event files of all processes into one time line on standard output.
A folder stands for all files below it that end in .events; rotated files
(NAME.1.events and so on) are read before NAME.events. Events come in causal
order: an event that caused another comes first, also where the wall clocks of
two processes differ. What could not be read is counted on standard error; the
exit code is 0 all the same, 1 if nothing could be read.

Examples:
  Everything that happened to one request, on all processes:
    masticwinch-timeline --request r-17 build/cell
  Why a task started twice:
    masticwinch-timeline --task j-3/4 build/cell
  A page for the browser, of one minute:
    masticwinch-timeline --format html --from 2026-12-03T20:00:00Z \
      --to 2026-12-03T20:01:00Z build/cell > timeline.html
  Count events by name, with a JSON tool:
    masticwinch-timeline --format json build/cell | jq -r .event | sort | uniq -c
)";

/// A flag with an invalid value.
struct FlagError {
  std::string Flag;
  std::string Reason;
};

Result<std::optional<std::uint64_t>> readTime(const std::string &flag,
                                              const std::string &text) {
  if (text.empty()) {
    return std::optional<std::uint64_t>();
  }
  const std::optional<std::uint64_t> millis = parseEventTime(text);
  if (!millis) {
    return boost::leaf::new_error(FlagError{flag, "is not a time: " + text});
  }
  return millis;
}

Result<EventFilter> readFilter() {
  BOOST_LEAF_AUTO(from, readTime("from", FLAGS_from));
  BOOST_LEAF_AUTO(to, readTime("to", FLAGS_to));
  return EventFilter{FLAGS_request, FLAGS_job,       FLAGS_task,
                     FLAGS_attempt, FLAGS_vm,        FLAGS_revision,
                     FLAGS_event,   std::move(from), std::move(to)};
}

Result<EventReadProblems> writeTimeline(const EventFilter &filter,
                                        EventMerge &merge) {
  if (FLAGS_format == "text") {
    TextTimelineWriter writer(std::cout);
    return merge.run(filter, writer);
  }
  if (FLAGS_format == "json") {
    JsonTimelineWriter writer(std::cout);
    return merge.run(filter, writer);
  }
  if (FLAGS_format == "html") {
    HtmlTimelineWriter writer(std::cout, "Time line", FLAGS_html_limit);
    const EventReadProblems problems = merge.run(filter, writer);
    writer.finish();
    return problems;
  }
  return boost::leaf::new_error(
      FlagError{"format", "must be text, json or html"});
}

void reportProblems(const EventReadProblems &problems) {
  if (problems.any()) {
    std::cerr << fmt::format("malformed_lines={} torn_last_lines={} "
                             "out_of_order_events={} unreadable_files={}\n",
                             problems.Malformed, problems.Torn,
                             problems.OutOfOrder, problems.Unreadable);
  }
}

Result<int> run(const std::vector<std::string> &paths) {
  BOOST_LEAF_AUTO(filter, readFilter());
  BOOST_LEAF_AUTO(chains, findEventFiles(paths));
  EventMerge merge(chains);
  BOOST_LEAF_AUTO(problems, writeTimeline(filter, merge));
  reportProblems(problems);
  return EXIT_SUCCESS;
}

} // namespace

} // namespace masticwinch

int main(int argc, char **argv) {
  using namespace masticwinch;
  std::ios::sync_with_stdio(false);
  parseCommandLine(Usage, "programs/timeline", argc, argv);
  const std::vector<std::string> paths(argv + 1, argv + argc);
  if (paths.empty()) {
    return reportFailure("name a folder or a file; --help explains");
  }
  return boost::leaf::try_handle_all(
      [&] { return run(paths); },
      [](const TimelineError &error) { return reportFailure(error.Reason); },
      [](const FlagError &error) {
        return reportFailure("--" + error.Flag + " " + error.Reason);
      },
      [] { return reportFailure("failed"); });
}
