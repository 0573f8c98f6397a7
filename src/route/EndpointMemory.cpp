#include "poplartrack/route/EndpointMemory.h"

namespace poplartrack {

EndpointRecord&
EndpointMemory::at(std::string_view aEndpoint, TimePoint aNow)
{
  EndpointRecord* known = this->find(aEndpoint);
  if (known != nullptr) {
    return *known;
  }
  EndpointRecord fresh;
  fresh.firstSeen = aNow;
  fresh.lastUsed = aNow;
  return this->records.emplace(std::string(aEndpoint), fresh).first->second;
}

const EndpointRecord*
EndpointMemory::find(std::string_view aEndpoint) const
{
  const auto found = this->records.find(aEndpoint);
  return found == this->records.end() ? nullptr : &found->second;
}

EndpointRecord*
EndpointMemory::find(std::string_view aEndpoint)
{
  const auto found = this->records.find(aEndpoint);
  return found == this->records.end() ? nullptr : &found->second;
}

void
EndpointMemory::forget(TimePoint aBefore)
{
  std::erase_if(this->records, [aBefore](const auto& aEntry) {
    const EndpointRecord& record = aEntry.second;
    return record.inFlight == 0 && record.lastUsed < aBefore;
  });
}

} // namespace poplartrack
