#include "poplartrack/store/LeaseRecord.h"

#include <exception>

#include <nlohmann/json.hpp>

namespace poplartrack {

std::string
toText(const LeaseRecord& aRecord)
{
  return nlohmann::json{
    { "holder", aRecord.holder },
    { "fence", aRecord.fence },
    { "beat", aRecord.writeNumber },
    { "durationMicros", aRecord.duration.count() },
    { "released", aRecord.released }
  }.dump();
}

std::optional<LeaseRecord>
leaseRecordFromText(const std::string& aText)
{
  try {
    const auto body = nlohmann::json::parse(aText);
    LeaseRecord record;
    record.holder = body.at("holder").get<std::string>();
    record.fence = body.at("fence").get<std::uint64_t>();
    record.writeNumber = body.at("beat").get<std::uint64_t>();
    record.duration = Duration{ body.at("durationMicros").get<std::int64_t>() };
    record.released = body.at("released").get<bool>();
    return record;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace poplartrack
