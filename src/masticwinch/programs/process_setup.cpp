#include "masticwinch/programs/process_setup.hpp"

#include "masticwinch/events/event_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>

namespace masticwinch::programs {

namespace {

std::string currentExceptionText() {
  const std::exception_ptr current = std::current_exception();
  if (!current) {
    return "no exception";
  }
  try {
    std::rethrow_exception(current);
  } catch (const std::exception &error) {
    return error.what();
  } catch (...) {
    return "unknown exception";
  }
}

[[noreturn]] void terminate() {
  const std::string line = "event=process_terminated reason=" +
                           quoteEventValue(currentExceptionText()) + "\n";
  // A failed write can't be handled here.
  (void)!::write(STDOUT_FILENO, line.data(), line.size());
  std::abort();
}

} // namespace

void prepareProcess() {
  // open returns the lowest free descriptor, so this opens all closed standard
  // descriptors.
  int descriptor = STDIN_FILENO;
  while (descriptor >= 0 && descriptor <= STDERR_FILENO) {
    descriptor = ::open("/dev/null", O_RDWR);
  }
  if (descriptor >= 0) {
    ::close(descriptor);
  }
  std::signal(SIGPIPE, SIG_IGN);
  // A write beyond the limit of a file's size fails as on a full disk.
  std::signal(SIGXFSZ, SIG_IGN);
  std::set_terminate(terminate);
}

} // namespace masticwinch::programs
