#include "masticwinch/ctl/account_output.hpp"
#include "masticwinch/ctl/ctl_command.hpp"
#include "masticwinch/http/percent_encoding.hpp"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>

namespace masticwinch::ctl {

namespace {

/// Reads a file, or standard input if the name is `-`.
std::string readInput(const std::string &file) {
  if (file == "-") {
    return {std::istreambuf_iterator<char>(std::cin), {}};
  }
  std::ifstream in(file);
  if (!in) {
    throw std::runtime_error(file + " can't be read");
  }
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string versionQuery(const CtlFlags &flags) {
  return flags.ExpectVersion
             ? "?expect_version=" + std::to_string(*flags.ExpectVersion)
             : std::string();
}

/// Makes a command that sends GET for `path`. If the command has an argument,
/// it is appended to the path, followed by `suffix`.
CtlCommand makeReadCommand(std::string words,
                           std::vector<std::string> arguments, std::string help,
                           std::string path, std::string suffix = "") {
  CtlCommand command;
  command.Words = std::move(words);
  command.Arguments = std::move(arguments);
  command.Help = std::move(help);
  command.Build = [path = std::move(path), suffix = std::move(suffix)](
                      const CtlArguments &it, const CtlFlags &) {
    CellRequest request;
    request.Path =
        it.empty() ? path : path + "/" + percentEncode(it[0]) + suffix;
    return request;
  };
  return command;
}

/// Makes a command that changes the item named by the first argument. A second
/// argument names the file with the request body.
CtlCommand makeChangeCommand(std::string words,
                             std::vector<std::string> arguments,
                             std::string help, std::string method,
                             std::string path, std::string suffix = "") {
  CtlCommand command;
  command.Words = std::move(words);
  command.Arguments = std::move(arguments);
  command.Help = std::move(help);
  command.ChangesConfiguration = true;
  command.Build = [method = std::move(method), path = std::move(path),
                   suffix = std::move(suffix)](const CtlArguments &it,
                                               const CtlFlags &flags) {
    CellRequest request;
    request.Method = method;
    request.Path =
        path + "/" + percentEncode(it[0]) + suffix + versionQuery(flags);
    request.Body = it.size() > 1 ? readInput(it[1]) : std::string();
    return request;
  };
  return command;
}

/// Makes a command that changes the membership. The membership is not part of
/// the configuration, so `--wait` does not apply.
CtlCommand makeMemberCommand(std::string words, std::string help,
                             std::string method) {
  CtlCommand command =
      makeChangeCommand(std::move(words), {"NAME"}, std::move(help),
                        std::move(method), "/v1/members");
  command.ChangesConfiguration = false;
  return command;
}

CtlCommand makeSubmitCommand() {
  CtlCommand command;
  command.Words = "job submit";
  command.Arguments = {"FILE"};
  command.Help = "submits the job that the JSON file describes";
  command.Build = [](const CtlArguments &it, const CtlFlags &) {
    return CellRequest{"POST", "/v1/jobs", readInput(it[0])};
  };
  return command;
}

CtlCommand makeCancelCommand() {
  CtlCommand command = makeChangeCommand("job cancel", {"JOB"},
                                         "cancels a job and stops its tasks",
                                         "DELETE", "/v1/jobs");
  command.ChangesConfiguration = false;
  return command;
}

CtlCommand makeAccountCommand(std::string words,
                              std::vector<std::string> arguments,
                              std::string help) {
  CtlCommand command;
  command.Words = std::move(words);
  command.Arguments = std::move(arguments);
  command.Help = std::move(help);
  command.ReadsMetrics = true;
  command.Build = [](const CtlArguments &, const CtlFlags &) {
    CellRequest request;
    request.Path = "/accounts";
    request.LeaderOnly = true;
    return request;
  };
  return command;
}

CtlCommand makeAccountListCommand() {
  CtlCommand command =
      makeAccountCommand("account list", {},
                         "lists the client accounts with use, share and waits "
                         "(needs --metrics)");
  command.Print = [](const nlohmann::json &page, const CtlArguments &,
                     const CtlFlags &flags) {
    std::printf("%s\n",
                flags.Json ? page.dump(2).c_str() : accountTable(page).c_str());
    return CtlExit::Success;
  };
  return command;
}

CtlCommand makeAccountShowCommand() {
  CtlCommand command = makeAccountCommand(
      "account show", {"NAME"}, "shows a client account (needs --metrics)");
  command.Print = [](const nlohmann::json &page, const CtlArguments &arguments,
                     const CtlFlags &flags) {
    const auto account = findAccount(page, arguments[0]);
    if (!account) {
      std::fprintf(stderr, "no account %s\n", arguments[0].c_str());
      return CtlExit::Refused;
    }
    std::printf("%s\n", flags.Json
                            ? account->dump(2).c_str()
                            : accountDetails(page, arguments[0])->c_str());
    return CtlExit::Success;
  };
  return command;
}

} // namespace

std::span<const CtlCommand> ctlCommands() {
  static const std::vector<CtlCommand> Commands{
      makeReadCommand("profile list", {}, "lists the profiles", "/v1/profiles"),
      makeReadCommand("profile show", {"NAME"}, "shows a profile",
                      "/v1/profiles"),
      makeReadCommand("profile history", {"NAME"},
                      "shows a profile's last versions", "/v1/profiles",
                      "/history"),
      makeChangeCommand("profile put", {"NAME", "FILE"},
                        "adds or changes a profile from a JSON file", "PUT",
                        "/v1/profiles"),
      makeChangeCommand(
          "profile retire", {"NAME"},
          "retires a profile; its queued and running work ends under it",
          "DELETE", "/v1/profiles"),
      makeReadCommand("team list", {}, "lists the teams", "/v1/teams"),
      makeReadCommand("team show", {"NAME"}, "shows a team", "/v1/teams"),
      makeChangeCommand("team set", {"NAME", "FILE"},
                        "sets a team's quota and weight from a JSON file",
                        "PUT", "/v1/teams"),
      makeChangeCommand("vm drain", {"VM"},
                        "gives a worker VM no new tasks and ends "
                        "those that it has",
                        "PUT", "/v1/vms", "/drain"),
      makeChangeCommand("vm undrain", {"VM"},
                        "lets a worker VM take tasks again", "PUT", "/v1/vms",
                        "/undrain"),
      makeReadCommand("vm list", {},
                      "lists the worker VMs with what is reserved", "/v1/vms"),
      makeReadCommand("vm show", {"VM"}, "shows a worker VM", "/v1/vms"),
      makeSubmitCommand(),
      makeReadCommand("job list", {}, "lists the jobs with their state",
                      "/v1/jobs"),
      makeReadCommand("job show", {"JOB"},
                      "shows a job's state and counts of tasks", "/v1/jobs"),
      makeReadCommand("job explain", {"JOB"}, "says why a job waits",
                      "/v1/jobs"),
      makeCancelCommand(),
      makeReadCommand("upstream list", {}, "lists the announced upstreams",
                      "/v1/upstreams"),
      makeReadCommand("entry list", {}, "lists the entry VMs", "/v1/entries"),
      makeReadCommand("member list", {},
                      "lists the control VMs and those that wait to join",
                      "/v1/members"),
      makeMemberCommand("member add",
                        "takes in a control VM that waits to join; it replaces "
                        "one of the same name",
                        "PUT"),
      makeMemberCommand("member remove", "takes a control VM out of the cell",
                        "DELETE"),
      makeAccountListCommand(),
      makeAccountShowCommand(),
      makeReadCommand("in-force", {},
                      "says which configuration each entry VM uses",
                      "/v1/in-force"),
  };
  return Commands;
}

} // namespace masticwinch::ctl
