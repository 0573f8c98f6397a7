#include "Caller.h"

#include <charconv>
#include <thread>

#include "../../platform/WireNames.h"

namespace poplartrack::review {
namespace {

std::size_t
numberIn(std::string_view aText)
{
  std::size_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::string
requestText(const CallerRequest& aRequest, const std::string& aId)
{
  const std::string method = aRequest.bodyBytes > 0 ? "POST" : "GET";
  return method + " " + aRequest.target +
         " HTTP/1.1\r\nHost: review.example\r\n" +
         std::string{ wire_names::kRequestId } + ": " + aId + "\r\n" +
         std::string{ wire_names::kDeadline } + ": " +
         std::to_string(aRequest.deadline.count()) + "\r\n" +
         std::string{ wire_names::kApiKey } + ": key-1\r\n" +
         "Content-Length: " + std::to_string(aRequest.bodyBytes) + "\r\n\r\n" +
         std::string(aRequest.bodyBytes, 'b');
}

} // namespace

CallerOutcome
Caller::call(const CallerRequest& aRequest)
{
  CallerOutcome outcome;
  outcome.requestId = this->name + "-" + std::to_string(++this->sent);
  const SteadyTime until = std::chrono::steady_clock::now() + aRequest.deadline;
  if (!this->connection) {
    this->kept = false;
    this->connection =
      RawConnection::connectTo(this->relay, this->receiveBuffer);
  }
  outcome.keptConnection = this->kept;
  this->record.write("caller sends " + outcome.requestId + " " +
                     aRequest.target + " with " +
                     std::to_string(aRequest.bodyBytes) + " bytes" +
                     (this->kept ? " on a kept connection" : ""));
  std::string head;
  if (!this->connection || !this->connection->send(
                             requestText(aRequest, outcome.requestId), until)) {
    outcome.end = ReadEnd::Reset;
  } else {
    outcome.end = this->connection->readHead(head, until);
  }
  if (outcome.end == ReadEnd::Data) {
    constexpr std::size_t kStatusAt = sizeof "HTTP/1.1 " - 1;
    outcome.status = static_cast<int>(numberIn(head.substr(kStatusAt)));
    if (fieldOf(head, "Transfer-Encoding") == "chunked") {
      outcome.end = this->connection->readChunks(outcome.chunkedBody, until);
      outcome.bytesRead = outcome.chunkedBody.size();
    } else {
      outcome.end =
        this->connection->readBody(numberIn(fieldOf(head, "Content-Length")),
                                   aRequest.readPace,
                                   until,
                                   outcome.bytesRead);
    }
    outcome.complete = outcome.end == ReadEnd::Data;
  }
  this->log(outcome);
  this->kept = outcome.complete && fieldOf(head, "Connection") != "close";
  if (!this->kept) {
    this->connection.reset();
  }
  return outcome;
}

void
Caller::log(const CallerOutcome& aOutcome) const
{
  this->record.write("caller got " + aOutcome.requestId + " status " +
                     std::to_string(aOutcome.status) + ", " +
                     std::to_string(aOutcome.bytesRead) + " bytes, " +
                     std::string{ nameOf(aOutcome.end) });
}

bool
Caller::openKept(const std::string& aTarget)
{
  constexpr int kMaxTries = 20;
  constexpr std::chrono::milliseconds kPause{ 250 };
  for (int i = 0; i < kMaxTries && !this->kept; ++i) {
    CallerRequest small;
    small.target = aTarget;
    if (this->call(small).status != 200) {
      std::this_thread::sleep_for(kPause);
    }
  }
  return this->kept;
}

} // namespace poplartrack::review
