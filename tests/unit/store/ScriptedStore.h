#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "unit/relay/AcceptLoop.h"

namespace poplartrack {

/** A store that keeps connections open and answers requests in the order of
 * their arrival from a list. An empty answer: the request is carried out, and
 * its connection is closed instead. The client must be destroyed first. */
class ScriptedStore
{
public:
  explicit ScriptedStore(std::vector<std::string> aAnswers)
    : answers(std::move(aAnswers))
  {
    this->loop.start([this](harness::RawSocket& aConnection) {
      while (readRequest(aConnection)) {
        const std::string answer = this->nextAnswer();
        if (answer.empty()) {
          return;
        }
        aConnection.send(answer);
      }
    });
  }

  [[nodiscard]] Address address() const { return this->loop.address(); }
  /** Returns how many requests have been received. */
  [[nodiscard]] std::size_t requests() const
  {
    const std::scoped_lock lock{ this->guard };
    return this->received;
  }

  /** Returns an answer that keeps its connection open. */
  static std::string answer(const std::string& aStatus,
                            const std::string& aBody)
  {
    return "HTTP/1.1 " + aStatus + "\r\nStore-Era: 0\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

private:
  /** Returns whether a whole request has come. */
  static bool readRequest(harness::RawSocket& aConnection)
  {
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    constexpr std::string_view kLength = "Content-Length: ";
    const std::string bytes = aConnection.readUntil(kHeadEnd);
    const std::size_t headEnd = bytes.find(kHeadEnd);
    if (headEnd == std::string::npos) {
      return false;
    }
    const std::size_t length = bytes.find(kLength);
    if (length < headEnd) {
      const std::size_t whole =
        headEnd + kHeadEnd.size() +
        std::stoul(bytes.substr(length + kLength.size()));
      aConnection.readBytes(whole - bytes.size());
    }
    return true;
  }
  std::string nextAnswer()
  {
    const std::scoped_lock lock{ this->guard };
    const std::size_t at = this->received++;
    return at < this->answers.size() ? this->answers[at] : std::string{};
  }

  mutable std::mutex guard;
  std::vector<std::string> answers;
  std::size_t received = 0;
  // Declared last, since its thread uses the members above.
  relaytest::AcceptLoop loop;
};

} // namespace poplartrack
