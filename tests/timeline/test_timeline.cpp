#include "masticwinch/events/event_log.hpp"
#include "masticwinch/timeline/event_merge.hpp"
#include "masticwinch/timeline/timeline_writers.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

using namespace masticwinch;

namespace {

const std::string Approved =
    std::string(MASTICWINCH_SOURCE_DIR) + "/tests/approved/timeline/";

std::string readFile(const std::string &file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

EventMerge makeMerge(const std::string &folder) {
  return EventMerge(findEventFiles({Approved + folder}).value());
}

std::string renderText(const std::string &folder,
                       const EventFilter &filter = {}) {
  std::ostringstream out;
  TextTimelineWriter writer(out);
  makeMerge(folder).run(filter, writer);
  return out.str();
}

/// Temporary folder that is removed by the destructor.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "timeline-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("can't make a temporary folder");
    }
    Path = pattern + "/";
  }
  ~TemporaryFolder() { std::filesystem::remove_all(Path); }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  std::string Path;
};

struct StampCollector {
  void write(const EventRecord &record) { Stamps.push_back(record.Stamp); }
  std::vector<HybridStamp> Stamps;
};

} // namespace

TEST_CASE("Events of three processes are merged in causal order",
          "[timeline][golden]") {
  CHECK(renderText("session") == readFile(Approved + "session.txt"));
}

TEST_CASE("Events are written as JSON lines", "[timeline][golden]") {
  std::ostringstream out;
  JsonTimelineWriter writer(out);
  makeMerge("session").run({}, writer);
  CHECK(out.str() == readFile(Approved + "session.jsonl"));
}

TEST_CASE("Events are written as an HTML page", "[timeline][golden]") {
  std::ostringstream out;
  HtmlTimelineWriter writer(out, "A <session>", 11);
  makeMerge("session").run({}, writer);
  writer.finish();
  CHECK(writer.leftOut() == 1);
  CHECK(out.str() == readFile(Approved + "session.html"));
  CHECK(out.str().find("http") == std::string::npos);
  CHECK(out.str().find("<b>") == std::string::npos);
}

TEST_CASE("Malformed and torn lines are counted", "[timeline]") {
  StampCollector collector;
  const EventReadProblems problems = makeMerge("session").run({}, collector);
  CHECK(collector.Stamps.size() == 12);
  CHECK(problems.Malformed == 2);
  CHECK(problems.Torn == 1);
  CHECK(problems.OutOfOrder == 0);
}

TEST_CASE("A filter selects the events of one request on all processes",
          "[timeline]") {
  EventFilter filter;
  filter.Request = "r-1";
  CHECK(renderText("session", filter) == readFile(Approved + "request.txt"));
}

TEST_CASE("Filters match VM, version, event and time", "[timeline]") {
  const auto record = parseEventLine(
      "time=2026-12-03T20:00:00.000Z hlc=5000.1 process=entry-1 incarnation=2 "
      "event=sent upstream=runner-3 revision=7 task=j-1/2 attempt=j-1/2#1");
  REQUIRE(record);
  const auto passes = [&](EventFilter filter) {
    return filter.matches(*record);
  };
  CHECK(passes({.Vm = "entry-1"}));
  CHECK(passes({.Vm = "runner-3"}));
  CHECK_FALSE(passes({.Vm = "runner"}));
  CHECK(passes({.Version = "7"}));
  CHECK_FALSE(passes({.Version = "8"}));
  CHECK(passes({.Task = "j-1/2", .Attempt = "j-1/2#1", .Event = "sent"}));
  CHECK_FALSE(passes({.Job = "j-1"}));
  CHECK(passes({.FromMillis = 5000, .ToMillis = 5000}));
  CHECK_FALSE(passes({.FromMillis = 5001}));
  CHECK_FALSE(passes({.ToMillis = 4999}));
}

TEST_CASE("Times are parsed in both formats", "[timeline]") {
  CHECK(parseEventTime("1500") == 1500U);
  CHECK(parseEventTime("1970-01-01T00:00:01Z") == 1000U);
  CHECK(parseEventTime("1970-01-01T00:00:01.25Z") == 1250U);
  CHECK(parseEventTime("1970-01-02T00:00:00.0019Z") == 86400001U);
  for (const char *text : {"", "now", "1970-01-01", "1970-01-01T00:00:01",
                           "1970-01-01T00:00:01.Zx", "1970-01-01T00:00:01.xZ",
                           "1960-01-01T00:00:01Z"}) {
    CHECK_FALSE(parseEventTime(text));
  }
}

TEST_CASE("Incomplete and malformed lines are rejected", "[timeline]") {
  const std::string head = "time=t hlc=1.0 process=p incarnation=1 event=e";
  CHECK(parseEventLine(head));
  CHECK(parseEventLine(head + " a=1 b=\"x \\\"y\\\" \\x01\""));
  for (const char *rest :
       {" ", " a", " a=", " =1", " a=\"x", " a=\"x\\", " a=\"\\q\"",
        " a=\"x\"b", " a=1  b=2", " a=\"\\x0\"", " a=x\"", " hlc=1.0"}) {
    INFO(rest);
    CHECK_FALSE(parseEventLine(head + rest));
  }
  CHECK_FALSE(parseEventLine("hlc=1.0 time=t process=p incarnation=1 event=e"));
  CHECK_FALSE(parseEventLine("time=t hlc=1 process=p incarnation=1 event=e"));
}

TEST_CASE("Values quoted by the event log are parsed back unchanged",
          "[timeline]") {
  rc::check([](const std::string &value) {
    const auto record =
        parseEventLine("time=t hlc=1.0 process=p incarnation=1 event=e key=" +
                       quoteEventValue(value));
    RC_ASSERT(record.has_value());
    RC_ASSERT(record->find("key").value() == value);
  });
}

TEST_CASE("Rotated files are read oldest first", "[timeline]") {
  const auto chains = findEventFiles({Approved + "session"}).value();
  REQUIRE(chains.size() == 3);
  const std::string folder = Approved + "session/";
  CHECK(chains[0].Files ==
        std::vector<std::string>{folder + "control-1.10.events",
                                 folder + "control-1.2.events",
                                 folder + "control-1.events"});
  CHECK_FALSE(findEventFiles({Approved + "nowhere"}));
}

TEST_CASE("Events keep their file order after the clock was set back",
          "[timeline]") {
  CHECK(renderText("clock-back") == readFile(Approved + "clock-back.txt"));
  StampCollector collector;
  CHECK(makeMerge("clock-back").run({}, collector).OutOfOrder == 2);
}

TEST_CASE("Merging gives the same order as sorting", "[timeline]") {
  rc::check([](std::vector<std::vector<unsigned char>> steps) {
    std::vector<EventFileChain> chains;
    std::vector<HybridStamp> expected;
    const TemporaryFolder folder;
    for (std::size_t i = 0; i < steps.size(); ++i) {
      chains.push_back({{folder.Path + std::to_string(i)}});
      std::ofstream out(chains.back().Files.front());
      HybridStamp stamp{1, 0};
      for (unsigned char step : steps[i]) {
        stamp.Millis += step % 3;
        out << "time=t hlc=" << stamp.text() << " process=p" << i
            << " incarnation=1 event=e\n";
        expected.push_back(stamp);
      }
    }
    std::sort(expected.begin(), expected.end());
    StampCollector collector;
    const EventReadProblems problems = EventMerge(chains).run({}, collector);
    RC_ASSERT(!problems.any());
    RC_ASSERT(collector.Stamps == expected);
  });
}
