#include "EngineJson.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace poplartrack {
namespace {

using nlohmann::json;

constexpr std::size_t kShownBytes = 120;

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
  return LayerRange{ aValue.at("from").get<std::uint32_t>(),
                     aValue.at("to").get<std::uint32_t>() };
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
      output.token = aJson.at("token").get<std::uint32_t>();
    }
    output.incarnation = readNumber(aJson.at("incarnation"));
    output.reusedTokens = aJson.value("reusedTokens", 0U);
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
    info.capacityLayers = aJson.value("capacityLayers", 0U);
    info.layersPerSecond = aJson.value("layersPerSecond", 0U);
    return info;
  });
}

Result<LoadHint>
readLoad(const std::string& aBody)
{
  return readGuarded<LoadHint>(aBody, [](const json& aJson) {
    LoadHint load;
    load.running = aJson.value("running", 0U);
    load.queued = aJson.value("queued", 0U);
    load.stepMicros = aJson.value("stepMicros", 0U);
    load.freeTokens = aJson.value("freeTokens", 0U);
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
