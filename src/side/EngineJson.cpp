#include "EngineJson.h"

#include <charconv>
#include <limits>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace poplartrack {
namespace {

using nlohmann::json;

constexpr std::size_t kShownBytes = 120;

/** More layers than any model has: those that plan need memory for each. */
constexpr std::uint32_t kMaxLayers = 10'000;

/** Parses a number. Those above 2^53 are sent as decimal strings; smaller ones
 * may be plain numbers. */
std::uint64_t
readNumber(const json& aValue)
{
  if (aValue.is_number_unsigned()) {
    return aValue.get<std::uint64_t>();
  }
  const auto& text = aValue.get_ref<const std::string&>();
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    throw std::invalid_argument("\"" + text + "\" is no number");
  }
  return number;
}

/** Returns a number from 0 to aMost, truncated to a whole one. */
std::uint32_t
toCount(const json& aValue,
        std::uint32_t aMost = std::numeric_limits<std::uint32_t>::max())
{
  const auto number = aValue.get<double>();
  if (!aValue.is_number() || number < 0 || number > aMost) {
    throw std::out_of_range("a number is out of range");
  }
  return static_cast<std::uint32_t>(number);
}

/** Returns a member that is a count; 0 if it is missing. */
std::uint32_t
readCount(const json& aObject, const char* aName)
{
  const auto& members = aObject.get_ref<const json::object_t&>();
  const auto found = members.find(aName);
  return found == members.end() ? 0 : toCount(found->second);
}

/** Runs a parser; an exception becomes EndpointFailed. */
template<typename T, typename Reader>
Result<T>
readGuarded(const std::string& aBody, Reader aReader)
{
  try {
    return aReader(json::parse(aBody));
  } catch (const std::exception& problem) {
    return fail(ErrorKind::EndpointFailed,
                std::string{ "unreadable answer: " } + problem.what());
  }
}

LayerRange
readRange(const json& aValue)
{
  const LayerRange range{ toCount(aValue.at("from"), kMaxLayers),
                          toCount(aValue.at("to"), kMaxLayers) };
  if (range.from > range.to) {
    throw std::out_of_range("layers end before they begin");
  }
  return range;
}

} // namespace

std::string
writeStep(const EngineStep& aStep)
{
  json inputs = json::array();
  for (const std::uint64_t input : aStep.inputs) {
    inputs.push_back(std::to_string(input));
  }
  const json body{ { "sequence", aStep.sequence },
                   { "model", aStep.model },
                   { "version", aStep.modelVersion },
                   { "position", aStep.position },
                   { "layerFrom", aStep.layers.from },
                   { "layerTo", aStep.layers.to },
                   { "inputs", std::move(inputs) },
                   { "priority", nameOf(aStep.priority) },
                   { "cachePrefix", true } };
  return body.dump();
}

Result<EngineOutput>
readOutput(const std::string& aBody)
{
  return readGuarded<EngineOutput>(aBody, [](const json& aJson) {
    EngineOutput output;
    for (const json& value : aJson.at("outputs")) {
      output.outputs.push_back(readNumber(value));
    }
    if (aJson.contains("token") && !aJson.at("token").is_null()) {
      output.token = toCount(aJson.at("token"));
    }
    output.incarnation = readNumber(aJson.at("incarnation"));
    output.reusedTokens = readCount(aJson, "reusedTokens");
    return output;
  });
}

Result<EngineInfo>
readInfo(const std::string& aBody)
{
  return readGuarded<EngineInfo>(aBody, [](const json& aJson) {
    EngineInfo info;
    info.incarnation = readNumber(aJson.at("incarnation"));
    info.service = aJson.value("service", std::string{ "engine" });
    info.accelerator = aJson.value("accelerator", std::string{});
    info.model = aJson.value("model", std::string{});
    info.modelVersion = aJson.value("version", std::string{});
    if (aJson.contains("holds")) {
      info.holds = readRange(aJson.at("holds"));
    }
    info.capacityLayers = readCount(aJson, "capacityLayers");
    info.layersPerSecond = readCount(aJson, "layersPerSecond");
    return info;
  });
}

Result<LoadHint>
readLoad(const std::string& aBody)
{
  return readGuarded<LoadHint>(aBody, [](const json& aJson) {
    LoadHint load;
    load.running = readCount(aJson, "running");
    load.queued = readCount(aJson, "queued");
    load.stepMicros = readCount(aJson, "stepMicros");
    load.freeTokens = readCount(aJson, "freeTokens");
    return load;
  });
}

std::string
writeOrder(const std::string& aModel,
           const std::string& aVersion,
           LayerRange aHolds,
           std::uint64_t aFence)
{
  const json body{ { "order", "load" },
                   { "model", aModel },
                   { "version", aVersion },
                   { "holds",
                     { { "from", aHolds.from }, { "to", aHolds.to } } },
                   { "fence", aFence } };
  return body.dump();
}

std::string
readRefusal(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (body.is_object() && body.contains("error") &&
      body.at("error").is_string()) {
    return body.at("error").get<std::string>();
  }
  return aBody.substr(0, kShownBytes);
}

} // namespace poplartrack
