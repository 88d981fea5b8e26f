#include "net/endpoint.h"

#include <charconv>
#include <cstdint>
#include <sstream>

namespace jaymast {

Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address) {
  const Error error{ErrorId::kInputField, address, "expected IP:port with a numeric IP address"};
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) return error;
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  std::uint16_t port = 0;
  const char* const end = address.data() + address.size();
  const auto [last, parse_error] = std::from_chars(address.data() + colon + 1, end, port);
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(host, ec);
  if (ec || parse_error != std::errc() || last != end) return error;
  return boost::asio::ip::tcp::endpoint(ip, port);
}

std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint) {
  std::ostringstream out;
  out << endpoint;
  return out.str();
}

}  // namespace jaymast
