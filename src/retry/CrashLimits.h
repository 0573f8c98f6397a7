#pragma once

#include <cstddef>

namespace poplartrack {

/** Content is put into quarantine when this many replicas have crashed just
 * after they began to run it. One crash involves every request at that replica;
 * few of them are by chance also at the start when a second replica crashes. */
constexpr std::size_t kEarlyCrashLimit = 2;

/** A suspect is put into quarantine when this many replicas have crashed at any
 * time while they had it. For parts of prompts there is no lower limit: a batch
 * of requests is moved to the next replica together. */
constexpr std::size_t kCrashLimit = 3;

} // namespace poplartrack
