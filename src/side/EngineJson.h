#pragma once

#include <string>

#include "poplartrack/side/EngineClient.h"

namespace poplartrack {

/** The bodies of docs/ENGINE.md, written and read. Readers never throw; what
 * cannot be read is EndpointFailed. */
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
