#include "PlatformJson.h"

#include <exception>
#include <stdexcept>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "poplartrack/base/Address.h"

namespace poplartrack {
namespace {

using nlohmann::json;

/** An odd instance stays in the list, which is read every second or so. */
constexpr double kSecondsBetweenWarnings = 60;

/** Parses the text and converts it with aConvert. Returns nothing if either
 * throws. */
template<typename Converter>
auto
parseJson(const std::string& aText, Converter&& aConvert)
  -> std::optional<decltype(aConvert(json{}))>
{
  try {
    return aConvert(json::parse(aText));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/** Reads an instance of the list. Throws if a field is missing or odd. */
InstanceInfo
instanceFromJson(const json& aInstance)
{
  InstanceInfo instance;
  instance.name = aInstance.at("name").get<std::string>();
  const bool entry = aInstance.at("role").get<std::string>() == "entry";
  instance.role = entry ? InstanceRole::Entry : InstanceRole::Side;
  instance.zone = aInstance.at("zone").get<std::string>();
  instance.region = aInstance.at("region").get<std::string>();
  instance.address = aInstance.at("address").get<std::string>();
  const Result<Address> address = addressFromText(instance.address);
  if (!address || address.value().port == 0) {
    throw std::invalid_argument("no address");
  }
  instance.draining = aInstance.at("state").get<std::string>() == "leaving";
  return instance;
}

} // namespace

std::string
transactionToJson(const std::vector<TableWrite>& aWrites)
{
  json writes = json::array();
  for (const TableWrite& write : aWrites) {
    json writeJson{ { "table", write.table },
                    { "key", write.key },
                    { "expect", write.expect },
                    { "value", nullptr } };
    if (write.value) {
      writeJson["value"] = *write.value;
    }
    writes.push_back(std::move(writeJson));
  }
  // JSON cannot carry a value that is not UTF-8. Replacing the invalid bytes
  // keeps dump() from throwing; whoever reads the row finds a changed text.
  return json{ { "writes", std::move(writes) } }.dump(
    -1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::vector<std::uint64_t>>
versionsFromJson(const std::string& aText)
{
  return parseJson(aText, [](const json& aBody) {
    return aBody.at("versions").get<std::vector<std::uint64_t>>();
  });
}

std::optional<TableRow>
rowFromJson(const std::string& aText, const std::string& aKey)
{
  return parseJson(aText, [&](const json& aBody) {
    return TableRow{ aKey,
                     aBody.at("value").get<std::string>(),
                     aBody.at("version").get<std::uint64_t>() };
  });
}

std::optional<std::vector<TableRow>>
rowsFromJson(const std::string& aText)
{
  return parseJson(aText, [](const json& aBody) {
    std::vector<TableRow> rows;
    for (const json& row : aBody.at("rows")) {
      rows.push_back({ row.at("key").get<std::string>(),
                       row.at("value").get<std::string>(),
                       row.at("version").get<std::uint64_t>() });
    }
    return rows;
  });
}

std::optional<std::vector<InstanceInfo>>
instancesFromJson(const std::string& aText)
{
  return parseJson(aText, [](const json& aBody) {
    std::vector<InstanceInfo> instances;
    const json& list = aBody.at("instances");
    for (const json& listed : list.get_ref<const json::array_t&>()) {
      try {
        instances.push_back(instanceFromJson(listed));
      } catch (const std::exception& problem) {
        LOG_EVERY_T(WARNING, kSecondsBetweenWarnings)
          << "platform: an instance of the list is unreadable: "
          << problem.what();
      }
    }
    return instances;
  });
}

} // namespace poplartrack
