#include "cli/http_api_client.h"

#include <algorithm>
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

std::vector<std::string> SplitByComma(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

}  // namespace

HttpApiClient::HttpApiClient(std::vector<std::string> servers, std::string secret, std::shared_ptr<TlsContext> tls)
    : m_servers(std::move(servers)), m_secret(std::move(secret)), m_client(std::move(tls)) {}

Result<std::unique_ptr<ApiClient>> HttpApiClient::Open(const ClientSettings& settings) {
  const std::vector<std::string> servers = SplitByComma(settings.server);
  for (const std::string& server : servers) {
    const auto endpoint = ParseEndpoint(server);
    if (!endpoint) return Error{ErrorId::kInputField, "server", endpoint.error().reason};
  }
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
  return std::unique_ptr<ApiClient>(new HttpApiClient(servers, std::move(secret), std::move(tls)));
}

Result<ApiReply> HttpApiClient::Send(const ApiCall& call) {
  for (std::size_t i = 0; i + 1 < m_servers.size(); ++i) {
    Result<ApiReply> reply = SendTo(m_servers[i], call);
    if (reply || reply.error().id != ErrorId::kNotServing) return reply;
  }
  return SendTo(m_servers.back(), call);
}

std::vector<Result<ApiReply>> HttpApiClient::SendToAll(const ApiCall& call) {
  std::vector<Result<ApiReply>> replies;
  for (const std::string& server : m_servers) replies.push_back(SendTo(server, call));
  return replies;
}

Result<ApiReply> HttpApiClient::SendTo(const std::string& server, const ApiCall& call) {
  HttpRequest request;
  request.method = call.method;
  request.target = call.target;
  request.headers = call.headers;
  request.body = call.body;
  if (!m_secret.empty()) request.headers.emplace_back("Authorization", "Bearer " + m_secret);
  if (!call.body.empty()) request.headers.emplace_back("Content-Type", "application/json");
  HttpResult result = m_client.Call(server, std::move(request), call.timeout);
  if (result.status == SendStatus::kNotSent) return Error{ErrorId::kNotServing, server, result.reason};
  if (result.status == SendStatus::kUnknown) return Error{ErrorId::kOutcomeUnknown, server, result.reason};
  return ApiReply{result.response.status, std::move(result.response.body)};
}

}  // namespace jaymast
