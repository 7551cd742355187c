#pragma once

#include <string>

namespace masticwinch {

/// Parses the flags of a program with gflags and removes them from the
/// arguments. `--help` prints the usage text and the flags that are defined in
/// files whose path contains `flagFiles`, and exits with 0. An invalid flag
/// exits with 1.
void parseCommandLine(const std::string &usage, const std::string &flagFiles,
                      int &argc, char **&argv);

/// Prints the reason of a failure to standard error; returns the exit code 1.
int reportFailure(const std::string &reason);

} // namespace masticwinch
