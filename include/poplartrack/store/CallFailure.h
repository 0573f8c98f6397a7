#pragma once

#include "poplartrack/base/Error.h"
#include "poplartrack/http/HttpClient.h"

namespace poplartrack {

/** What a failed call's answer or end says, for logs. */
std::string
detailOf(const HttpResult& aResult);

/** Why a read gave nothing: NotFound at that status, else PlatformUnavailable.
 * Whatever happened, it changed nothing. */
Error
readFailure(const HttpResult& aResult, int aNotFoundStatus);

/**
 * Why a write gave no success, and whether it may have taken effect. Only
 * three ends prove that it did not: the call never left, the store named a
 * conflict, or it refused (503 and 4xx). Any other end, a 5xx included, leaves
 * it open: it may even be done seconds later.
 *
 * @param aConflictStatus with which this store names a version that differs
 */
Error
writeFailure(const HttpResult& aResult, int aConflictStatus);

} // namespace poplartrack
