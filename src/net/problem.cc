#include "net/problem.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string>

#include "model/path.h"
#include "model/utf8.h"

namespace jaymast {
namespace {

/// Percent-encodes text that is not UTF-8, as it may contain bytes of a malformed request.
std::string JsonSafeText(const std::string& text) { return IsUtf8(text) ? text : EncodeSegment(text); }

}  // namespace

HttpResponse ProblemResponse(int status, const Error& error, Verdict verdict) {
  const boost::json::object body = {{"type", ToString(error.id)},
                                    {"status", status},
                                    {"detail", JsonSafeText(error.reason)},
                                    {"path", JsonSafeText(error.path)},
                                    {"verdict", ToString(verdict)}};
  HttpResponse response;
  response.status = status;
  response.headers.emplace_back("Content-Type", "application/problem+json");
  response.headers.emplace_back("Jaymast-Verdict", ToString(verdict));
  response.body = boost::json::serialize(body);
  return response;
}

}  // namespace jaymast
