#pragma once

#include <cstdint>

namespace poplartrack {

/** Keys of the listener and of the datagram socket in the poller. */
constexpr std::uint64_t kListenerKey = 1;
constexpr std::uint64_t kPeersKey = 2;

/** Key of the timer that retries the requests in the wait queue. */
constexpr std::uint64_t kWaitQueueTimerKey = 3;

/** Key of the timer of the next check for losses. */
constexpr std::uint64_t kLossCheckTimerKey = 4;

/** Key of the timer of the next message about changes. */
constexpr std::uint64_t kChangeTimerKey = 5;
/** First id of a connection or exchange; smaller ones are fixed keys. */
constexpr std::uint64_t kFirstDynamicId = 16;

} // namespace poplartrack
