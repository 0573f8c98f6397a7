#pragma once

#include <string>
#include <vector>

#include "poplartrack/observe/Metrics.h"
#include "poplartrack/store/PlatformLike.h"

namespace poplartrack {

/** Forwards calls to a store and counts them under two reasons, one for reads
 * and one for writes. */
template<PlatformLike Store>
class CountedStore
{
public:
  CountedStore(Store& aStore,
               Metrics& aMetrics,
               StoreCall aReads,
               StoreCall aWrites)
    : store(aStore)
    , metrics(aMetrics)
    , reads(aReads)
    , writes(aWrites)
  {
  }

  Result<std::optional<TableRow>> readRow(const std::string& aTable,
                                          const std::string& aKey)
  {
    this->metrics.countStoreCall(this->reads);
    return this->store.readRow(aTable, aKey);
  }
  Result<std::vector<TableRow>> scanRows(const std::string& aTable,
                                         const std::string& aPrefix,
                                         const std::string& aAfter,
                                         std::size_t aLimit)
  {
    this->metrics.countStoreCall(this->reads);
    return this->store.scanRows(aTable, aPrefix, aAfter, aLimit);
  }
  Result<std::vector<std::uint64_t>> transact(
    const std::vector<TableWrite>& aWrites)
  {
    this->metrics.countStoreCall(this->writes);
    return this->store.transact(aWrites);
  }
  Result<Done> putObject(const std::string& aName, const std::string& aBytes)
  {
    this->metrics.countStoreCall(this->writes);
    return this->store.putObject(aName, aBytes);
  }
  Result<std::string> getObject(const std::string& aName)
  {
    this->metrics.countStoreCall(this->reads);
    return this->store.getObject(aName);
  }
  Result<std::vector<InstanceInfo>> listInstances()
  {
    this->metrics.countStoreCall(this->reads);
    return this->store.listInstances();
  }

private:
  Store& store;
  Metrics& metrics;
  StoreCall reads;
  StoreCall writes;
};

} // namespace poplartrack
