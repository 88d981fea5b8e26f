#pragma once

#include <memory>
#include <string>
#include <vector>

#include "cli/api_client.h"
#include "cli/client_settings.h"
#include "net/blocking_http_client.h"

namespace jaymast {

/// Sends the calls of the command line over HTTP, with the secret of the key file as bearer token.
class HttpApiClient : public ApiClient {
 public:
  /// Reads the key file and the certificates.
  /// @return the client, or an error with the path of the file or setting that cannot be used
  static Result<std::unique_ptr<ApiClient>> Open(const ClientSettings& settings);

  /// Tries the next entry only when certainly no byte reached the one before.
  Result<ApiReply> Send(const ApiCall& call) override;
  std::vector<Result<ApiReply>> SendToAll(const ApiCall& call) override;

 private:
  HttpApiClient(std::vector<std::string> servers, std::string secret, std::shared_ptr<TlsContext> tls);

  Result<ApiReply> SendTo(const std::string& server, const ApiCall& call);

  std::vector<std::string> m_servers;  ///< not empty
  std::string m_secret;
  BlockingHttpClient m_client;
};

}  // namespace jaymast
