#include "poplartrack/base/Address.h"

#include <arpa/inet.h>
#include <charconv>

namespace poplartrack {

std::string
toText(const Address& aAddress)
{
  return aAddress.host + ":" + std::to_string(aAddress.port);
}

Result<Address>
addressFromText(std::string_view aText)
{
  const std::string text{ aText };
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return fail(ErrorKind::BadSettings,
                "\"" + text + "\" has no port; write A.B.C.D:PORT");
  }
  Address address{ std::string{ aText.substr(0, colon) }, 0 };
  in_addr parsed{};
  if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) {
    return fail(ErrorKind::BadSettings,
                "\"" + address.host + "\" is no IPv4 number");
  }
  const std::string_view port = aText.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto number = std::from_chars(port.data(), end, address.port);
  if (number.ec != std::errc{} || number.ptr != end) {
    return fail(ErrorKind::BadSettings,
                "\"" + std::string{ port } + "\" is no port from 0 to 65535");
  }
  return address;
}

} // namespace poplartrack
