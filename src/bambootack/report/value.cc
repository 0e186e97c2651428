#include "bambootack/report/value.h"

#include <toml++/toml.h>

#include <sstream>

namespace bambootack::report {
namespace {

toml::table ToTable(const Map& map);

toml::array ToArray(const List& list);

struct InsertInto {
  toml::table& table;
  const std::string& key;

  void operator()(const List& it) const {
    table.insert_or_assign(key, ToArray(it));
  }
  void operator()(const Map& it) const {
    table.insert_or_assign(key, ToTable(it));
  }
  template <typename T>
  void operator()(const T& it) const {
    table.insert_or_assign(key, it);
  }
};

struct Append {
  toml::array& array;

  void operator()(const List& it) const { array.push_back(ToArray(it)); }
  void operator()(const Map& it) const { array.push_back(ToTable(it)); }
  template <typename T>
  void operator()(const T& it) const {
    array.push_back(it);
  }
};

toml::table ToTable(const Map& map) {
  toml::table table;
  for (const auto& [key, value] : map) {
    std::visit(InsertInto{table, key}, value.Get());
  }
  return table;
}

toml::array ToArray(const List& list) {
  toml::array array;
  for (const Value& it : list) {
    std::visit(Append{array}, it.Get());
  }
  return array;
}

}  // namespace

std::string Write(const Map& root, Format format) {
  const toml::table table = ToTable(root);
  std::ostringstream out;
  if (format == Format::kJson) {
    out << toml::json_formatter(table);
  } else {
    out << toml::toml_formatter(table);
  }
  out << '\n';
  return std::move(out).str();
}

}  // namespace bambootack::report
