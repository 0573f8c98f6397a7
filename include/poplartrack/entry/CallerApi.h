#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <stop_token>
#include <string>

#include "poplartrack/base/RcuBox.h"
#include "poplartrack/config/Configuration.h"
#include "poplartrack/entry/AnswerText.h"
#include "poplartrack/entry/CallerRequest.h"
#include "poplartrack/entry/ClaimEndWriter.h"
#include "poplartrack/entry/ClaimKeeper.h"
#include "poplartrack/entry/ModelRunner.h"
#include "poplartrack/entry/PlainDispatcher.h"

namespace poplartrack {

/** What the CallerApi uses. All of it outlives the CallerApi. */
struct CallerApiParts
{
  Metrics& metrics;
  Decider& decider;
  EndpointDirectory& endpoints;
  ModelRunner& models;
  PlainDispatcher& plains;
  ClaimKeeper& claims;
  ClaimEndWriter& claimEnds;
  /** The configuration in force; null while there is none. */
  RcuBox<Configuration>& configuration;
  std::string replyTo;
  /** Ends the waits of calls for their idempotency keys. */
  std::stop_token draining;
  /** Requests are refused from here on: the process ends. */
  std::stop_token closed;
};

/** Answers callers as docs/CALLING.md specifies. Runs on the threads of their
 * connections. */
class CallerApi
{
public:
  explicit CallerApi(CallerApiParts aParts);

  /** Answers one request; blocks until there is an answer. */
  HttpReply handle(const HttpRequest& aRequest);

private:
  /** What is known of a request before it is admitted. */
  struct Context
  {
    RequestId request;
    std::shared_ptr<const Configuration> configuration;
    CallerHeaders headers;
    TimePoint arrived;
    TimePoint deadline;
  };

  Result<Done> authenticate(const Context& aContext) const;
  HttpReply refuse(const Context& aContext,
                   const Error& aError,
                   Duration aRetryAfter);
  HttpReply refuse(const Context& aContext,
                   const Error& aError,
                   RunState aRan,
                   Duration aRetryAfter);
  HttpReply callModel(const Context& aContext,
                      const std::string& aModel,
                      const std::string& aBody);
  HttpReply runModel(const Context& aContext,
                     const ModelCall& aCall,
                     const ModelSpec& aSpec);
  HttpReply awaitWhole(const Context& aContext,
                       const std::shared_ptr<ActiveRun>& aRun,
                       std::uint64_t aTicket);
  HttpReply streamAnswer(const Context& aContext,
                         const std::shared_ptr<ActiveRun>& aRun,
                         std::uint64_t aTicket);
  AnswerFacts factsOf(const Context& aContext, ActiveRun& aRun) const;
  void finishTicket(std::uint64_t aTicket,
                    std::size_t aUsedTokens,
                    bool aWhole);
  HttpReply callService(const Context& aContext,
                        const std::string& aService,
                        const std::string& aOperation,
                        const std::string& aBody);
  HttpReply runService(const Context& aContext,
                       const ServiceCall& aCall,
                       bool aIdempotent);
  HttpReply dispatchPlain(const Context& aContext,
                          const PlainSpec& aSpec,
                          const ClaimHeld* aClaim);

  CallerApiParts parts;
};

} // namespace poplartrack
