#include "LargestRows.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "TwoDigits.h"

namespace poplartrack {

std::vector<AccountUse>
largestRows(std::vector<AccountRowRef> aNamed,
            std::size_t aServices,
            std::size_t aMaxRows)
{
  auto end = aNamed.end();
  std::map<std::string, AccountUse> rests;
  const std::size_t forNamed = aMaxRows - std::min(aServices, aMaxRows);
  if (aNamed.size() > forNamed) {
    end = aNamed.begin() + static_cast<std::ptrdiff_t>(forNamed);
    std::partial_sort(
      aNamed.begin(),
      end,
      aNamed.end(),
      [](const AccountRowRef& aLeft, const AccountRowRef& aRight) {
        return std::pair{ aLeft.demand(), aLeft.usual } >
               std::pair{ aRight.demand(), aRight.usual };
      });
    for (auto row = end; row != aNamed.end(); ++row) {
      if (row->demand() <= 0) {
        continue;
      }
      AccountUse& rest = rests[*row->service];
      rest.service = *row->service;
      rest.inUse += row->inUse;
      rest.waiting += row->waiting;
    }
  }
  std::vector<AccountUse> rows;
  for (auto row = aNamed.begin(); row != end; ++row) {
    rows.push_back({ *row->service,
                     row->account,
                     row->inUse,
                     row->waiting,
                     roundToTwoDigits(row->usual) });
  }
  for (auto& [service, rest] : rests) {
    if (rows.size() < aMaxRows) {
      rows.push_back(std::move(rest));
    }
  }
  return rows;
}

} // namespace poplartrack
