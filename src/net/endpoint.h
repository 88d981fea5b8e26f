#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "base/result.h"

namespace jaymast {

/// Parses "IP:port" or "[IPv6]:port". Host names are not accepted, because no process resolves names.
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address);

/// Text of an endpoint in the form that ParseEndpoint accepts.
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace jaymast
