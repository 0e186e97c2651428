#include "ctl/render.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>

namespace bambootack::ctl {
namespace {

struct Column {
  const char* key;
  const char* title;
};

std::string Cell(const toml::table& row, const char* key) {
  const toml::node* node = row.get(key);
  if (node == nullptr) {
    return "-";
  }
  if (const auto text = node->value<std::string>(); node->is_string()) {
    return text->empty() ? "-" : *text;
  }
  if (node->is_boolean()) {
    return *node->value<bool>() ? "yes" : "no";
  }
  const auto number = node->value_or<std::int64_t>(0);
  return number < 0 ? "-" : fmt::format("{}", number);
}

std::string Table(const toml::array* rows, const std::vector<Column>& columns) {
  std::vector<std::vector<std::string>> cells(1);
  for (const Column& it : columns) {
    cells[0].emplace_back(it.title);
  }
  for (std::size_t i = 0; rows != nullptr && i < rows->size(); ++i) {
    if (const toml::table* row = rows->get(i)->as_table()) {
      auto& line = cells.emplace_back();
      for (const Column& it : columns) {
        line.push_back(Cell(*row, it.key));
      }
    }
  }
  std::string text;
  for (const auto& line : cells) {
    for (std::size_t i = 0; i < columns.size(); ++i) {
      std::size_t width = 0;
      for (const auto& other : cells) {
        width = std::max(width, other[i].size());
      }
      text += fmt::format("{:{}}  ", line[i], width);
    }
    text.erase(text.find_last_not_of(' ') + 1);
    text += '\n';
  }
  return text;
}

std::string Flag(const toml::table& report, const char* key, const char* yes,
                 const char* no) {
  return report[key].value_or(false) ? yes : no;
}

}  // namespace

Progress ReadProgress(const std::string& toml) {
  Progress progress;
  try {
    const toml::table report = toml::parse(toml);
    progress.vms = report["vms"].value_or<std::int64_t>(0);
    progress.in_force = report["in_force"].value_or<std::int64_t>(0);
    if (const toml::array* lacking = report["lacking"].as_array()) {
      for (const toml::node& it : *lacking) {
        progress.lacking.push_back(it.value_or<std::int64_t>(0));
      }
    }
  } catch (const toml::parse_error&) {
    progress = {};
  }
  return progress;
}

std::string RenderProgress(const std::string& ticket,
                           const Progress& progress) {
  std::string text = fmt::format("ticket {}: in force on {} of {} VMs\n",
                                 ticket, progress.in_force, progress.vms);
  if (!progress.lacking.empty()) {
    text += fmt::format("lacking: {}\n", fmt::join(progress.lacking, " "));
  }
  return text;
}

std::string RenderStatus(const std::string& toml) {
  try {
    const toml::table report = toml::parse(toml);
    std::string text = fmt::format(
        "VM {} in {}: {}{}, log {}\nticket {}, position {}:{}, view {}\n\n",
        report["vm"].value_or<std::int64_t>(0),
        report["failure_domain"].value_or(std::string("?")),
        Flag(report, "ready", "ready", "not ready"),
        Flag(report, "stopping", ", stopping", ""),
        Flag(report, "log_available", "available", "away"),
        report["ticket"].value_or<std::int64_t>(0),
        report["position"]["generation"].value_or<std::int64_t>(0),
        report["position"]["offset"].value_or<std::int64_t>(0),
        report["view"].value_or<std::int64_t>(0));
    text += Table(report["vms"].as_array(), {{"vm", "VM"},
                                             {"address", "ADDRESS"},
                                             {"failure_domain", "DOMAIN"},
                                             {"alive", "ALIVE"},
                                             {"heard_s", "HEARD(s)"},
                                             {"hears_me_s", "HEARS ME(s)"},
                                             {"up_to_date", "UP TO DATE"},
                                             {"leaving", "LEAVING"},
                                             {"suspected", "SUSPECTED"}});
    text += '\n';
    text += Table(report["servers"].as_array(), {{"service", "SERVICE"},
                                                 {"server", "SERVER"},
                                                 {"address", "ADDRESS"},
                                                 {"failure_domain", "DOMAIN"},
                                                 {"slots", "SLOTS"},
                                                 {"pin", "PIN"},
                                                 {"leaving", "LEAVING"}});
    return text;
  } catch (const toml::parse_error&) {
    return toml;
  }
}

}  // namespace bambootack::ctl
