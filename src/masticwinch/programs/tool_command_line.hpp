#pragma once

#include <string>

namespace masticwinch {

/// Parses the flags of a program with gflags and takes them out of the
/// arguments. For `--help` prints the usage text and the flags that are defined
/// in files whose path contains `flagFiles`, and ends the process with 0. A
/// wrong flag ends the process with 1.
void parseCommandLine(const std::string &usage, const std::string &flagFiles,
                      int &argc, char **&argv);

/// Prints why the program can't go on; returns the exit code 1.
int reportFailure(const std::string &reason);

} // namespace masticwinch
