#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/Priority.h"

namespace poplartrack {

/** One version of a model. */
struct VersionSpec
{
  /** Name of the weights in the platform's weight store. */
  std::string weights;
};

/** Settings of one model. */
struct ModelSpec
{
  std::uint32_t layers = 0;
  /** Key into `versions`: the version that new requests use. */
  std::string version;
  std::map<std::string, VersionSpec> versions;
  /** Longest accepted prompt. */
  std::uint32_t maxPromptTokens = 4096;
  /** Longest answer that a request may ask for. */
  std::uint32_t maxAnswerTokens = 1024;
  /** Minimum number of complete copies of the layers that placement keeps. */
  std::uint32_t minCopies = 1;
  /** Weight of one answered request in the weighted goodput. */
  double weight = 1.0;
};

/** One operation of a plain service. */
struct OperationSpec
{
  /** False: a call is executed at most once. */
  bool idempotent = true;
};

/** Settings of one plain service, an endpoint that is not a model. */
struct ServiceSpec
{
  std::map<std::string, OperationSpec> operations;
  /** Weight of one answered request in the weighted goodput. */
  double weight = 1.0;
};

/** Credentials, limits and priority of one client account. */
struct AccountSpec
{
  /** SHA-256 of the account's secret, 64 lower-case hex digits. */
  std::string secretSha256;
  double requestsPerSecond = 10;
  /** Rate limit over prompt and answer tokens together. */
  double tokensPerSecond = 10'000;
  /** Burst size: how many seconds of unused limit accumulate. */
  double burstSeconds = 2;
  /** Share relative to other accounts under overload. */
  double weight = 1;
  /** The highest priority that the account may request. */
  Priority highestPriority = Priority::Normal;
};

/** How one priority is treated under overload. */
struct PrioritySpec
{
  /** Minimum share of the capacity (0 to 1) reserved for this priority. */
  double floorShare = 0;
};

/** Deadlines that apply to every request. */
struct RequestLimits
{
  /** Deadline of a request that gives none. */
  Duration defaultDeadline = std::chrono::seconds{ 30 };
  /** Longest deadline that a request may give. */
  Duration maxDeadline = std::chrono::seconds{ 120 };
};

/** One revision of the operators' settings folder, merged and validated. */
struct Configuration
{
  /** 0 when no revision has been loaded yet. */
  std::uint64_t revision = 0;
  std::map<std::string, ModelSpec> models;
  std::map<std::string, ServiceSpec> services;
  std::map<std::string, AccountSpec> accounts;
  /** Indexed by Priority. */
  std::array<PrioritySpec, kPriorityCount> priorities{};
  RequestLimits limits;
};

} // namespace poplartrack
