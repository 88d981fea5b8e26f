#include "cli/http_api_client.h"

#include <utility>

#include "cli/input_files.h"
#include "net/endpoint.h"
#include "net/tls_context.h"

namespace jaymast {
namespace {

std::string WithoutTrailingSpace(std::string text) {
  text.erase(text.find_last_not_of(" \t\r\n") + 1);
  return text;
}

}  // namespace

HttpApiClient::HttpApiClient(std::string server, std::string secret, std::shared_ptr<TlsContext> tls)
    : m_server(std::move(server)), m_secret(std::move(secret)), m_client(std::move(tls)) {}

Result<std::unique_ptr<ApiClient>> HttpApiClient::Open(const ClientSettings& settings) {
  const auto endpoint = ParseEndpoint(settings.server);
  if (!endpoint) return Error{ErrorId::kInputField, "server", endpoint.error().reason};
  std::string secret;
  if (!settings.key_file.empty()) {
    const Result<std::string> text = ReadInputFile(settings.key_file);
    if (!text) return text.error();
    secret = WithoutTrailingSpace(*text);
  }
  std::shared_ptr<TlsContext> tls;
  if (!settings.ca_file.empty()) {
    TlsFiles files;
    files.authority = settings.ca_file;
    const auto context = TlsContext::Load(files);
    if (!context) return context.error();
    tls = *context;
  }
  return std::unique_ptr<ApiClient>(new HttpApiClient(settings.server, std::move(secret), std::move(tls)));
}

Result<ApiReply> HttpApiClient::Send(const ApiCall& call) {
  HttpRequest request;
  request.method = call.method;
  request.target = call.target;
  request.headers = call.headers;
  request.body = call.body;
  if (!m_secret.empty()) request.headers.emplace_back("Authorization", "Bearer " + m_secret);
  if (!call.body.empty()) request.headers.emplace_back("Content-Type", "application/json");
  HttpResult result = m_client.Call(m_server, std::move(request), call.timeout);
  if (result.status == SendStatus::kNotSent) return Error{ErrorId::kNotServing, m_server, result.reason};
  if (result.status == SendStatus::kUnknown) return Error{ErrorId::kOutcomeUnknown, m_server, result.reason};
  return ApiReply{result.response.status, std::move(result.response.body)};
}

}  // namespace jaymast
