#ifndef BENCH_SCENARIO_PROCESS_H_
#define BENCH_SCENARIO_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace bench {

/// @brief Processor time and memory of a process.
struct Usage {
  double cpu_seconds = 0.0;
  double resident_mb = 0.0;
};

/// @brief A child process that is ended with its owner.
class Process {
 public:
  /// @brief Starts a program.
  /// @param arguments Path and arguments.
  /// @param log_file File that receives its output.
  /// @throw std::system_error if it cannot be started.
  Process(std::vector<std::string> arguments, const std::string& log_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// @brief Sends a signal.
  /// @param signal Its number.
  void Signal(int signal) const;

  /// @brief Waits for the end.
  /// @return Exit code, or 128 plus the signal that ended it.
  int Wait();

  /// @brief Tells whether it still runs.
  /// @return True if so.
  [[nodiscard]] bool IsRunning();

  /// @brief Id of the process while it runs.
  [[nodiscard]] pid_t Id() const noexcept { return pid_; }

  /// @brief Reads its use of resources.
  /// @return The use so far, zero after the end.
  [[nodiscard]] Usage ReadUsage() const;

 private:
  void Collect(int status);

  pid_t pid_ = -1;
  int exit_code_ = 0;
};

}  // namespace bench

#endif  // BENCH_SCENARIO_PROCESS_H_
