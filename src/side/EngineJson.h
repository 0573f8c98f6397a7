#pragma once

#include <string>

#include "poplartrack/side/EngineClient.h"

namespace poplartrack {

/** Encoding and parsing of the bodies in docs/ENGINE.md. Parsers never throw;
 * invalid input is EndpointFailed. */
std::string
writeStep(const EngineStep& aStep);
Result<EngineOutput>
readOutput(const std::string& aBody);
Result<EngineInfo>
readInfo(const std::string& aBody);
Result<LoadHint>
readLoad(const std::string& aBody);
std::string
writeOrder(const std::string& aModel,
           const std::string& aVersion,
           LayerRange aHolds,
           std::uint64_t aFence);
/** Returns the "error" field of a refusal's body, or the body's first bytes. */
std::string
readRefusal(const std::string& aBody);

} // namespace poplartrack
