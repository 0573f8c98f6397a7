#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "poplartrack/base/Clock.h"
#include "poplartrack/base/RequestId.h"
#include "poplartrack/base/Result.h"
#include "poplartrack/ledger/ExpiryIndex.h"
#include "poplartrack/ledger/LedgerLimits.h"
#include "poplartrack/ledger/StepVerdict.h"
#include "poplartrack/wire/FenceRequest.h"
#include "poplartrack/wire/OpenAttempt.h"
#include "poplartrack/wire/PlainCall.h"
#include "poplartrack/wire/RunStep.h"

namespace poplartrack {

/**
 * What one side knows of each request: its newest attempt, the next position,
 * the attempts that are fenced, and whether anything of it ever reached the
 * endpoint. Every call to the endpoint passes here first.
 *
 * No locks: the owner serialises the calls. After each call that may end
 * attempts (open, fence, drop, onEndpointRestarted) take the attempts to cancel
 * with takeDropped().
 */
class StepLedger
{
public:
  /** BadSettings when the limits cannot keep the promise of LedgerLimits. */
  static Result<StepLedger> create(LedgerLimits aLimits,
                                   std::string aEndpoint,
                                   std::uint64_t aIncarnation);

  /** Takes an attempt and fences all lower ones of the request. A repeat of
   * the same message is accepted again. */
  Refusal open(const OpenAttempt& aOpen, TimePoint aNow);

  /** May this step run? After RunNow, check mayDispatch() if the step had to
   * wait, then tell the end with onStepDone() or drop(). */
  StepVerdict onStep(const RunStep& aStep, TimePoint aNow);

  /** Asked right before the endpoint is called, when work was queued since its
   * verdict: false once the attempt was fenced, dropped or is past its
   * deadline. */
  [[nodiscard]] bool mayDispatch(const RequestId& aRequest,
                                 std::uint32_t aAttempt,
                                 TimePoint aNow) const;

  /** May the result of a step that ran be passed on? */
  StepOutcome onStepDone(const RequestId& aRequest,
                         std::uint32_t aAttempt,
                         std::uint32_t aPosition,
                         std::uint32_t aCount,
                         TimePoint aNow);

  /** Ends an attempt that cannot go on: the endpoint failed, the next stage or
   * the entry refused. It never runs again; a tombstone stays. */
  void drop(const RequestId& aRequest, std::uint32_t aAttempt, TimePoint aNow);

  /** Fences the attempts below a number and returns whether any ran. Rejected
   * as Overloaded when no tombstone can be kept; the reply then proves
   * nothing. */
  FenceReply fence(const FenceRequest& aFence, TimePoint aNow);

  /** May this plain call run? */
  PlainVerdict onPlain(const PlainCall& aCall, TimePoint aNow);

  /** A plain call has ended; the reply is kept for repeats. */
  void onPlainDone(const RequestId& aRequest,
                   std::uint32_t aAttempt,
                   PlainReply aReply,
                   TimePoint aNow);

  /** While leaving, new attempts and plain calls are refused; open ones go on
   * to their end. */
  void setLeaving(bool aLeaving) { this->isLeaving = aLeaving; }
  [[nodiscard]] bool leaving() const { return this->isLeaving; }
  /** Attempts and plain calls that have not ended: 0 when drained. */
  [[nodiscard]] std::size_t openAttempts() const { return this->openCount; }
  /** Requests remembered, open ones included. */
  [[nodiscard]] std::size_t remembered() const { return this->records.size(); }
  [[nodiscard]] std::uint64_t incarnation() const
  {
    return this->ownIncarnation;
  }

  /** The endpoint was restarted: its KV is gone, so every open attempt is lost
   * (see takeDropped). Tombstones stand. */
  void onEndpointRestarted(std::uint64_t aNewIncarnation, TimePoint aNow);

  /** Attempts whose deadline has passed, to cancel in the endpoint; forgets
   * tombstones whose life is over. */
  std::vector<DroppedAttempt> expire(TimePoint aNow);

  /** Attempts ended by the calls since the last time, to cancel in the
   * endpoint (and, after a restart, to report to their entries). */
  std::vector<DroppedAttempt> takeDropped();

private:
  /** The newest attempt of a model request while it is open. */
  struct OpenState
  {
    std::shared_ptr<const OpenAttempt> message;
    std::uint32_t nextPosition = 0;
    TimePoint deadline{};
  };
  /** A plain call that was given to the endpoint. */
  struct PlainState
  {
    std::uint32_t attempt = 0;
    std::uint64_t digest = 0;
    bool inProgress = true;
    /** Whether the request had run here before this call. */
    bool ranBefore = false;
    std::optional<PlainReply> reply;
    TimePoint deadline{};
  };
  /** All that is remembered of one request. */
  struct Record
  {
    /** Attempts below this number never run here. */
    std::uint32_t fencedBelow = 0;
    bool everRan = false;
    bool finished = false;
    std::optional<OpenState> open;
    std::optional<PlainState> plain;
  };

  StepLedger(LedgerLimits aLimits,
             std::string aEndpoint,
             std::uint64_t aIncarnation);

  [[nodiscard]] std::optional<Error> checkOpen(const OpenAttempt& aOpen) const;
  /** Leaving, deadline, room: whether new work may start now. */
  [[nodiscard]] std::optional<Error> checkNewWork(
    std::uint64_t aRemainingMicros) const;
  [[nodiscard]] static std::optional<Error> checkStep(const OpenState& aOpen,
                                                      const RunStep& aStep,
                                                      TimePoint aNow);
  [[nodiscard]] static RunNow runNow(const OpenState& aOpen,
                                     const RunStep& aStep,
                                     TimePoint aNow);
  [[nodiscard]] std::optional<Error> checkPlain(const PlainCall& aCall) const;
  Refuse refusePlain(const PlainCall& aCall, Error aError);
  /** The verdict on a call of a request that is remembered; nothing when it
   * may start like a new one. */
  std::optional<PlainVerdict> onKnownPlain(const Record& aRecord,
                                           const PlainCall& aCall) const;
  PlainVerdict startPlain(const PlainCall& aCall, TimePoint aNow);
  Record* find(const RequestId& aRequest);
  /** The record, made if there is room; nullptr when the table is full. */
  Record* findOrAdd(const RequestId& aRequest);
  void raiseFence(const RequestId& aRequest,
                  Record& aRecord,
                  std::uint32_t aBelow);
  void closeAttempt(const RequestId& aRequest, Record& aRecord);
  void endAttempt(const RequestId& aRequest, std::uint32_t aAttempt);
  /** Starts a record's remaining life once nothing of it is open. */
  void retire(const RequestId& aRequest, const Record& aRecord);
  void advanceAwake(TimePoint aNow);

  LedgerLimits limits;
  std::string endpoint;
  std::uint64_t ownIncarnation;
  bool isLeaving = false;
  std::size_t openCount = 0;
  std::unordered_map<RequestId, Record> records;
  /** Deadlines of open attempts. */
  ExpiryIndex<TimePoint> deadlines;
  /** When retired records are forgotten, in awake time. */
  ExpiryIndex<Duration> lives;
  /** Time during which the process is known to have been awake. */
  Duration awake{ 0 };
  std::optional<TimePoint> lastExpire;
  std::vector<DroppedAttempt> dropped;
};

/** The endpoint's name for one attempt's KV. */
std::string
sequenceName(const RequestId& aRequest, std::uint32_t aAttempt);

} // namespace poplartrack
