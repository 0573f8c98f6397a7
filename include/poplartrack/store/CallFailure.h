#pragma once

#include "poplartrack/base/Error.h"
#include "poplartrack/http/HttpClient.h"

namespace poplartrack {

/** Returns the status and body of a reply, or why there was none, for logs. */
std::string
failureDetail(const HttpResult& aResult);

/** Returns the error of a failed read: NotFound if the reply has the status
 * aNotFoundStatus, else PlatformUnavailable. A read never has an effect, so
 * its outcome is never unknown. */
Error
readFailure(const HttpResult& aResult, int aNotFoundStatus);

/**
 * Returns the error of a failed write, which says whether the write may have
 * taken effect. Only three outcomes prove that it did not: the request was not
 * sent (PlatformUnavailable), the store reported a version conflict (Conflict),
 * or the store refused the request with 503 or a 4xx status
 * (PlatformUnavailable). Every other outcome, including the other 5xx statuses,
 * is PlatformUnknown: the write may even take effect seconds later.
 *
 * @param aConflictStatus status with which this store reports that a row does
 * not have the expected version
 */
Error
writeFailure(const HttpResult& aResult, int aConflictStatus);

} // namespace poplartrack
