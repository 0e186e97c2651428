#ifndef CTL_RENDER_H_
#define CTL_RENDER_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bambootack::ctl {

/// @brief Where a ticket is in force.
struct Progress {
  std::int64_t vms = 0;
  std::int64_t in_force = 0;
  std::vector<std::int64_t> lacking;
};

/// @brief Reads a daemon's report on a ticket.
/// @param toml TOML text.
/// @return The progress; zero VMs if the text cannot be read.
[[nodiscard]] Progress ReadProgress(const std::string& toml);

/// @brief Writes the progress of a ticket for people.
/// @param ticket Its number.
/// @param progress The progress.
/// @return One line, and one more with the VMs that lack it.
[[nodiscard]] std::string RenderProgress(const std::string& ticket,
                                         const Progress& progress);

/// @brief Writes a status report for people.
/// @param toml Report of the daemon.
/// @return Tables; the report itself if it cannot be read.
[[nodiscard]] std::string RenderStatus(const std::string& toml);

}  // namespace bambootack::ctl

#endif  // CTL_RENDER_H_
