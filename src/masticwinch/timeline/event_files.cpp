#include "masticwinch/timeline/event_files.hpp"

#include <boost/leaf/error.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <regex>
#include <set>

namespace masticwinch {

namespace {

namespace fs = std::filesystem;

constexpr const char *Extension = ".events";

/// Files of one chain by rotation number, the highest number first.
using Rotation = std::map<unsigned long, std::string, std::greater<>>;

Result<std::set<std::string>> listFiles(const std::vector<std::string> &paths) {
  std::set<std::string> files;
  for (const std::string &path : paths) {
    std::error_code ec;
    if (!fs::is_directory(path, ec)) {
      if (!fs::exists(path, ec)) {
        return boost::leaf::new_error(TimelineError{path + ": not there"});
      }
      files.insert(fs::path(path).lexically_normal().string());
      continue;
    }
    for (const auto &it : fs::recursive_directory_iterator(path, ec)) {
      if (it.is_regular_file(ec) && it.path().extension() == Extension) {
        files.insert(it.path().lexically_normal().string());
      }
    }
    if (ec) {
      return boost::leaf::new_error(TimelineError{path + ": " + ec.message()});
    }
  }
  return files;
}

} // namespace

Result<std::vector<EventFileChain>>
findEventFiles(const std::vector<std::string> &paths) {
  static const std::regex Rotated(R"((.*)\.(\d{1,9})\.events)");
  Result<std::set<std::string>> files = listFiles(paths);
  if (!files) {
    return files.error();
  }
  std::map<std::string, Rotation> rotations;
  for (const std::string &it : files.value()) {
    std::smatch match;
    if (std::regex_match(it, match, Rotated)) {
      rotations[match[1].str() + Extension][std::stoul(match[2])] = it;
    } else {
      rotations[it][0] = it;
    }
  }
  if (rotations.empty()) {
    return boost::leaf::new_error(TimelineError{"no event file found"});
  }
  std::vector<EventFileChain> chains;
  for (const auto &[name, rotation] : rotations) {
    EventFileChain &chain = chains.emplace_back();
    for (const auto &[number, file] : rotation) {
      chain.Files.push_back(file);
    }
  }
  return chains;
}

} // namespace masticwinch
