#include "net/problem.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace jaymast {

HttpResponse ProblemResponse(int status, const Error& error, Verdict verdict) {
  const boost::json::object body = {{"type", ToString(error.id)},
                                    {"status", status},
                                    {"detail", error.reason},
                                    {"path", error.path},
                                    {"verdict", ToString(verdict)}};
  HttpResponse response;
  response.status = status;
  response.headers.emplace_back("Content-Type", "application/problem+json");
  response.headers.emplace_back("Jaymast-Verdict", ToString(verdict));
  response.body = boost::json::serialize(body);
  return response;
}

}  // namespace jaymast
