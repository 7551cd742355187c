#include "masticwinch/ctl/ctl_command.hpp"
#include "masticwinch/http/percent_encoding.hpp"

#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>

namespace masticwinch::ctl {

namespace {

/// Contents of a file, or of standard input for `-`.
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

/// A command that reads a fixed path, with its argument at the end if it has
/// one.
CtlCommand reading(std::string words, std::vector<std::string> arguments,
                   std::string help, std::string path, std::string tail = "") {
  CtlCommand command;
  command.Words = std::move(words);
  command.Arguments = std::move(arguments);
  command.Help = std::move(help);
  command.Build = [path = std::move(path), tail = std::move(tail)](
                      const CtlArguments &it, const CtlFlags &) {
    CellRequest request;
    request.Path = it.empty() ? path : path + "/" + percentEncode(it[0]) + tail;
    return request;
  };
  return command;
}

/// A command that changes the item named by its first argument; the second
/// argument, if there is one, names the file with the body.
CtlCommand changing(std::string words, std::vector<std::string> arguments,
                    std::string help, std::string method, std::string path,
                    std::string tail = "") {
  CtlCommand command;
  command.Words = std::move(words);
  command.Arguments = std::move(arguments);
  command.Help = std::move(help);
  command.ChangesConfiguration = true;
  command.Build = [method = std::move(method), path = std::move(path),
                   tail = std::move(tail)](const CtlArguments &it,
                                           const CtlFlags &flags) {
    CellRequest request;
    request.Method = method;
    request.Path =
        path + "/" + percentEncode(it[0]) + tail + versionQuery(flags);
    request.Body = it.size() > 1 ? readInput(it[1]) : std::string();
    return request;
  };
  return command;
}

/// A change of the membership, which is no configuration.
CtlCommand changingMember(std::string words, std::string help,
                          std::string method) {
  CtlCommand command = changing(std::move(words), {"NAME"}, std::move(help),
                                std::move(method), "/v1/members");
  command.ChangesConfiguration = false;
  return command;
}

CtlCommand submitting() {
  CtlCommand command;
  command.Words = "job submit";
  command.Arguments = {"FILE"};
  command.Help = "submits the job that the JSON file describes";
  command.Build = [](const CtlArguments &it, const CtlFlags &) {
    return CellRequest{"POST", "/v1/jobs", readInput(it[0])};
  };
  return command;
}

CtlCommand cancelling() {
  CtlCommand command =
      changing("job cancel", {"JOB"}, "cancels a job and stops its tasks",
               "DELETE", "/v1/jobs");
  command.ChangesConfiguration = false;
  return command;
}

} // namespace

std::span<const CtlCommand> ctlCommands() {
  static const std::vector<CtlCommand> Commands{
      reading("profile list", {}, "lists the profiles", "/v1/profiles"),
      reading("profile show", {"NAME"}, "shows a profile", "/v1/profiles"),
      reading("profile history", {"NAME"}, "shows a profile's last versions",
              "/v1/profiles", "/history"),
      changing("profile put", {"NAME", "FILE"},
               "adds or changes a profile from a JSON file", "PUT",
               "/v1/profiles"),
      changing("profile retire", {"NAME"},
               "retires a profile; its queued and running work ends under it",
               "DELETE", "/v1/profiles"),
      reading("team list", {}, "lists the teams", "/v1/teams"),
      reading("team show", {"NAME"}, "shows a team", "/v1/teams"),
      changing("team set", {"NAME", "FILE"},
               "sets a team's quota and weight from a JSON file", "PUT",
               "/v1/teams"),
      changing("vm drain", {"VM"},
               "gives a worker VM no new tasks and ends "
               "those that it has",
               "PUT", "/v1/vms", "/drain"),
      changing("vm undrain", {"VM"}, "lets a worker VM take tasks again", "PUT",
               "/v1/vms", "/undrain"),
      reading("vm list", {}, "lists the worker VMs with what is reserved",
              "/v1/vms"),
      reading("vm show", {"VM"}, "shows a worker VM", "/v1/vms"),
      submitting(),
      reading("job list", {}, "lists the jobs with their state", "/v1/jobs"),
      reading("job show", {"JOB"}, "shows a job's state and counts of tasks",
              "/v1/jobs"),
      reading("job explain", {"JOB"}, "says why a job waits", "/v1/jobs"),
      cancelling(),
      reading("upstream list", {}, "lists the announced upstreams",
              "/v1/upstreams"),
      reading("entry list", {}, "lists the entry VMs", "/v1/entries"),
      reading("member list", {},
              "lists the control VMs and those that wait to join",
              "/v1/members"),
      changingMember("member add",
                     "takes in a control VM that waits to join; it replaces "
                     "one of the same name",
                     "PUT"),
      changingMember("member remove", "takes a control VM out of the cell",
                     "DELETE"),
      reading("in-force", {}, "says which configuration each entry VM uses",
              "/v1/in-force"),
  };
  return Commands;
}

} // namespace masticwinch::ctl
