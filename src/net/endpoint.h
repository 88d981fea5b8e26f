#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "base/result.h"

namespace jaymast {

/// Parses "IP:port" or "[IPv6]:port". Host names are rejected, because no process does DNS lookups.
/// @return the endpoint, or an error with the address
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address);

/// Formats an endpoint for ParseEndpoint.
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace jaymast
