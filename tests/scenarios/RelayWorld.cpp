#include "scenarios/RelayWorld.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string_view>

#include "soak/SoakCaller.h"
#include "soak/SoakJudge.h"

namespace poplartrack::scenarios {
namespace {

/** In the order of RequestKind. */
constexpr std::array<std::string_view, 3> kKindNames{ "once",
                                                      "again",
                                                      "stream" };

/** Returns the value whose name this is in a table of names. */
template<typename Value, typename Table>
Value
valueNamed(const Table& aNames, const std::string& aName)
{
  const auto found = std::find(aNames.begin(), aNames.end(), aName);
  if (found == aNames.end()) {
    throw std::runtime_error("unknown name " + aName);
  }
  return static_cast<Value>(found - aNames.begin());
}

} // namespace

RelayWorld::RelayWorld(const std::string& aBuild,
                       const std::string& aFolder,
                       const soak::SoakSize& aSize)
  : world(aBuild, aFolder, aSize, this->record)
{
}

void
RelayWorld::fault(const std::string& aName, std::size_t aWho, bool aBegins)
{
  soak::PlannedFault fault;
  fault.fault = valueNamed<soak::Fault>(soak::kFaultNames, aName);
  fault.who = aWho;
  if (aBegins) {
    this->world.begin(fault);
  } else {
    this->world.end(fault);
  }
}

std::size_t
RelayWorld::begin(const std::string& aKind, std::size_t aRelay)
{
  const auto kind = valueNamed<soak::RequestKind>(kKindNames, aKind);
  const auto& relays = this->world.callers();
  const Address relay = relays.at(aRelay % relays.size());
  const std::size_t number = this->calls.size();
  this->calls.push_back(std::async(std::launch::async, [=, this] {
    soak::SoakCaller caller{ this->record, "s" + std::to_string(number), 0 };
    return caller.call(relay, kind, std::string{ soak::kAccountKeys.front() });
  }));
  return number;
}

soak::CallRecord
RelayWorld::finish(std::size_t aCall)
{
  return this->calls.at(aCall).get();
}

std::size_t
RelayWorld::taken() const
{
  const std::vector<std::string> lines = this->world.lines();
  return static_cast<std::size_t>(
    std::count_if(lines.begin(), lines.end(), [](const std::string& aLine) {
      return aLine.starts_with("took ");
    }));
}

nlohmann::json
RelayWorld::verdict() const
{
  const soak::SoakVerdict verdict =
    soak::judge(this->record, this->world.lines());
  return { { "calls", verdict.calls },
           { "whole", verdict.whole },
           { "through_silence", verdict.throughSilence },
           { "broken", verdict.broken } };
}

} // namespace poplartrack::scenarios
