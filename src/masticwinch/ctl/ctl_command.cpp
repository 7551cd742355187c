#include "masticwinch/ctl/ctl_command.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <sstream>
#include <thread>

namespace masticwinch::ctl {

namespace {

constexpr Milliseconds InForcePollInterval{50};

std::vector<std::string> splitWords(const std::string &text) {
  std::istringstream in(text);
  return {std::istream_iterator<std::string>(in), {}};
}

nlohmann::json parse(const std::string &text) {
  return nlohmann::json::parse(text, nullptr, false);
}

void print(const nlohmann::json &json, const std::string &text) {
  std::printf("%s\n",
              json.is_discarded() ? text.c_str() : json.dump(2).c_str());
}

/// Reads an unsigned 64-bit field, which Protobuf's JSON writes as a string.
/// Returns 0 if it is missing or not a string.
std::uint64_t uint64Field(const nlohmann::json &json, const char *key) {
  const auto it = json.find(key);
  return it == json.end() || !it->is_string()
             ? 0
             : std::strtoull(it->get<std::string>().c_str(), nullptr, 10);
}

void printOutdatedEntries(const nlohmann::json &inForce,
                          std::uint64_t revision) {
  for (const nlohmann::json &it :
       inForce.value("entries", nlohmann::json::array())) {
    if (it.value("serving", false) && uint64Field(it, "revision") < revision) {
      std::fprintf(stderr, "not in force on %s\n",
                   it.value("name", "").c_str());
    }
  }
}

CtlExit waitUntilInForce(std::uint64_t revision, const CtlFlags &flags,
                         CellConnection &connection) {
  const SteadyTime end = BootClock::now() + flags.WaitTimeout;
  nlohmann::json inForce;
  while (BootClock::now() < end) {
    const HttpCallResult result = connection.call({"GET", "/v1/in-force", ""});
    inForce = parse(result.Response.Body);
    if (result.Outcome == HttpOutcome::Answered && inForce.is_object() &&
        uint64Field(inForce, "in_force_revision") >= revision) {
      std::printf("in force everywhere: revision %llu\n",
                  static_cast<unsigned long long>(revision));
      return CtlExit::Success;
    }
    std::this_thread::sleep_for(InForcePollInterval);
  }
  if (inForce.is_object()) {
    printOutdatedEntries(inForce, revision);
  }
  return CtlExit::NotInForce;
}

CtlExit printMetricsAnswer(const CtlCommand &command,
                           const CtlArguments &arguments, const CtlFlags &flags,
                           const HttpResponse &response,
                           const nlohmann::json &json) {
  if (response.Status == 503 || response.Status == 404) {
    std::fprintf(stderr,
                 "none of the given metrics addresses is the leader's; the "
                 "last answer was %d: %s\n",
                 int(response.Status), response.Body.c_str());
    return CtlExit::NoLeader;
  }
  if (response.Status != 200 || !json.is_object()) {
    std::fprintf(stderr, "not a page of accounts, status %d\n",
                 int(response.Status));
    return CtlExit::Refused;
  }
  return command.Print(json, arguments, flags);
}

} // namespace

const CtlCommand *findCommand(const std::vector<std::string> &words,
                              CtlArguments &arguments) {
  for (const CtlCommand &it : ctlCommands()) {
    const std::vector<std::string> expected = splitWords(it.Words);
    if (words.size() == expected.size() + it.Arguments.size() &&
        std::equal(expected.begin(), expected.end(), words.begin())) {
      arguments.assign(words.begin() + static_cast<long>(expected.size()),
                       words.end());
      return &it;
    }
  }
  return nullptr;
}

CtlExit runCommand(const CtlCommand &command, const CtlArguments &arguments,
                   const CtlFlags &flags, CellConnection &connection) {
  const HttpCallResult result =
      connection.call(command.Build(arguments, flags));
  if (result.Outcome != HttpOutcome::Answered) {
    std::fprintf(stderr, "no answer: %s %s\n",
                 std::string(nameOf(result.Outcome)).c_str(),
                 result.Detail.c_str());
    return CtlExit::Unknown;
  }
  const nlohmann::json json = parse(result.Response.Body);
  if (command.ReadsMetrics) {
    return printMetricsAnswer(command, arguments, flags, result.Response, json);
  }
  print(json, result.Response.Body);
  if (result.Response.Status == 504) {
    return CtlExit::Unknown;
  }
  if (result.Response.Status >= 300) {
    return CtlExit::Refused;
  }
  if (flags.Wait && command.ChangesConfiguration && json.is_object()) {
    return waitUntilInForce(uint64Field(json, "revision"), flags, connection);
  }
  return CtlExit::Success;
}

std::string ctlUsage() {
  std::string usage = "masticwinchctl operates a cell.\n\n"
                      "  masticwinchctl --servers URL[,URL...] COMMAND\n"
                      "  masticwinchctl --metrics URL[,URL...] account ...\n\n"
                      "Commands:\n";
  for (const CtlCommand &it : ctlCommands()) {
    std::string line = "  " + it.Words;
    for (const std::string &name : it.Arguments) {
      line += " " + name;
    }
    line.resize(std::max<std::size_t>(line.size() + 2, 32), ' ');
    usage += line + it.Help + "\n";
  }
  return usage +
         "\nFILE is JSON, - reads standard input. Exit codes: 0 done, 1 "
         "refused,\n2 wrong command line, 3 unknown (send it again with the "
         "same --request_id),\n4 accepted but not in force everywhere in "
         "time, 5 none of the\ndaemons that were asked leads.";
}

} // namespace masticwinch::ctl
