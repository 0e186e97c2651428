#include "bench/scenario/process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <sstream>
#include <system_error>

namespace bench {
namespace {

constexpr int kSignalBase = 128;
constexpr mode_t kLogMode = 0644;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

/// Fields of /proc/PID/stat after the name, counted from the state.
constexpr int kUserTimeField = 11;
constexpr int kSystemTimeField = 12;
constexpr int kResidentField = 21;

/// File actions of posix_spawn.
class FileActions {
 public:
  explicit FileActions(const std::string& log_file) {
    posix_spawn_file_actions_init(&actions_);
    posix_spawn_file_actions_addopen(&actions_, STDOUT_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kLogMode);
    posix_spawn_file_actions_adddup2(&actions_, STDOUT_FILENO, STDERR_FILENO);
    // A listening socket of this process would stay open with the other one.
    posix_spawn_file_actions_addclosefrom_np(&actions_, STDERR_FILENO + 1);
  }
  ~FileActions() { posix_spawn_file_actions_destroy(&actions_); }
  FileActions(const FileActions&) = delete;
  FileActions& operator=(const FileActions&) = delete;

  [[nodiscard]] const posix_spawn_file_actions_t* Get() const noexcept {
    return &actions_;
  }

 private:
  posix_spawn_file_actions_t actions_{};
};

}  // namespace

Process::Process(std::vector<std::string> arguments,
                 const std::string& log_file) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& it : arguments) {
    argv.push_back(it.data());
  }
  argv.push_back(nullptr);
  const FileActions actions(log_file);
  const int error =
      posix_spawn(&pid_, argv[0], actions.Get(), nullptr, argv.data(), environ);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), arguments[0]);
  }
}

Process::~Process() {
  if (IsRunning()) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    Wait();
  }
}

void Process::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

int Process::Wait() {
  int status = 0;
  while (pid_ > 0) {
    if (waitpid(pid_, &status, 0) == pid_ || errno == ECHILD) {
      Collect(status);
    }
  }
  return exit_code_;
}

bool Process::IsRunning() {
  int status = 0;
  if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
    Collect(status);
  }
  return pid_ > 0;
}

void Process::Collect(int status) {
  pid_ = -1;
  exit_code_ = WIFSIGNALED(status) ? kSignalBase + WTERMSIG(status)
                                   : WEXITSTATUS(status);
}

Usage Process::ReadUsage() const {
  std::ifstream in(fmt::format("/proc/{}/stat", pid_));
  std::string line;
  std::getline(in, line);
  const std::size_t end_of_name = line.rfind(')');
  if (end_of_name == std::string::npos) {
    return {};
  }
  std::istringstream fields(line.substr(end_of_name + 1));
  Usage usage;
  std::string field;
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  const auto page = static_cast<double>(sysconf(_SC_PAGESIZE));
  for (int i = 0; fields >> field; ++i) {
    if (i == kUserTimeField || i == kSystemTimeField) {
      usage.cpu_seconds += std::stod(field) / ticks;
    } else if (i == kResidentField) {
      usage.resident_mb = std::stod(field) * page / kBytesPerMegabyte;
    }
  }
  return usage;
}

}  // namespace bench
