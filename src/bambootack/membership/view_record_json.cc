#include "bambootack/membership/view_record_json.h"

#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <exception>
#include <sstream>

namespace bambootack::membership {
namespace {

/// Field list of the record for cereal, with enumerations and times as text
/// and integers.
struct Fields {
  std::string change;
  std::uint32_t vm = 0;
  std::uint64_t incarnation = 0;
  std::string address;
  std::string failure_domain;
  std::int64_t at_ms = 0;

  template <typename A>
  void serialize(A& ar) {
    ar(CEREAL_NVP(change), CEREAL_NVP(vm), CEREAL_NVP(incarnation),
       CEREAL_NVP(address), CEREAL_NVP(failure_domain), CEREAL_NVP(at_ms));
  }
};

}  // namespace

std::string ToJson(const ViewRecord& record) {
  Fields fields;
  fields.change = kViewChangeNames.Name(record.change);
  fields.vm = static_cast<std::uint32_t>(record.member.vm);
  fields.incarnation = static_cast<std::uint64_t>(record.member.incarnation);
  fields.address = record.member.address;
  fields.failure_domain = record.member.failure_domain;
  fields.at_ms = record.at.time_since_epoch().count();
  std::ostringstream out;
  {
    cereal::JSONOutputArchive archive(
        out, cereal::JSONOutputArchive::Options::NoIndent());
    fields.serialize(archive);
  }
  return std::move(out).str();
}

std::optional<ViewRecord> FromJson(const std::string& text) {
  if (text.size() > kMaxViewRecordBytes) {
    return std::nullopt;
  }
  Fields fields;
  try {
    std::istringstream in(text);
    cereal::JSONInputArchive archive(in);
    fields.serialize(archive);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  const auto change = kViewChangeNames.Parse(fields.change);
  if (!change || fields.vm == 0 || fields.incarnation == 0) {
    return std::nullopt;
  }
  ViewRecord record;
  record.change = *change;
  record.member = {core::VmId{fields.vm}, core::Incarnation{fields.incarnation},
                   fields.address, fields.failure_domain};
  record.at = core::WallTime(std::chrono::milliseconds(fields.at_ms));
  return record;
}

}  // namespace bambootack::membership
