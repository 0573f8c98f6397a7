#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/LayerRange.h"
#include "poplartrack/base/Priority.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/http/HttpClient.h"
#include "poplartrack/wire/LoadHint.h"

namespace poplartrack {

/** An endpoint's description of itself (GET /v1/info of docs/ENGINE.md). */
struct EngineInfo
{
  std::uint64_t incarnation = 0;
  /** "engine", or the plain service's name. */
  std::string service;
  std::string accelerator;
  std::string model;
  std::string modelVersion;
  LayerRange holds;
  /** Layers that fit into its memory; 0 if it is not reported. */
  std::uint32_t capacityLayers = 0;
  /** Layers of one token that it nominally runs a second; 0 if it is not
   * reported. */
  std::uint32_t layersPerSecond = 0;
};

/** One step, as sent to the engine. */
struct EngineStep
{
  /** Name of the attempt, whose KV is not shared with others. */
  std::string sequence;
  std::string model;
  std::string modelVersion;
  std::uint32_t position = 0;
  LayerRange layers;
  std::vector<std::uint64_t> inputs;
  Priority priority = Priority::Normal;
};

/** Result of a step. */
struct EngineOutput
{
  std::vector<std::uint64_t> outputs;
  /** Set if the step ran the model's last layer. */
  std::optional<std::uint32_t> token;
  std::uint64_t incarnation = 0;
  /** Number of leading inputs that were in the prefix cache. */
  std::uint32_t reusedTokens = 0;
};

/**
 * Client of the protocol in docs/ENGINE.md for one endpoint. Never sends a step
 * twice. Errors of a step: StageRefused if the engine certainly did not run it,
 * StageLost if it may have.
 */
class EngineClient
{
public:
  EngineClient(HttpClient& aHttp, const std::string& aAddress);

  using StepDone = std::function<void(Result<EngineOutput>)>;
  /** Starts a step; aDone runs on the HTTP client's thread. */
  void step(const EngineStep& aStep, Duration aTimeout, StepDone aDone);

  /** Releases a sequence's KV and drops its queued steps. There is no reply. */
  void cancel(const std::string& aSequence);

  using InfoDone = std::function<void(Result<EngineInfo>)>;
  /** Queries the endpoint's description of itself. The error is Network only if
   * it sent nothing within the timeout. */
  void info(Duration aTimeout, InfoDone aDone);

  using LoadDone = std::function<void(Result<LoadHint>)>;
  /** Queries the engine's own load report, which lags. */
  void load(Duration aTimeout, LoadDone aDone);

  /** Orders the engine to hold these layers. */
  void order(const std::string& aModel,
             const std::string& aVersion,
             LayerRange aHolds,
             std::uint64_t aFence,
             std::function<void(Result<Done>)> aDone);

  /** Calls a plain service. The callback gets the result unchanged. */
  void plain(const std::string& aOperation,
             const std::string& aRequestId,
             std::string aBody,
             bool aIdempotent,
             Duration aTimeout,
             HttpDone aDone);

private:
  HttpCall newCall(const std::string& aPath, Duration aTimeout) const;
  HttpCall post(const std::string& aPath,
                std::string aBody,
                Duration aTimeout) const;

  HttpClient& http;
  std::string base;
};

} // namespace poplartrack
