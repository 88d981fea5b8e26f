#pragma once

#include <memory>
#include <string>

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

  Result<ApiReply> Send(const ApiCall& call) override;

 private:
  HttpApiClient(std::string server, std::string secret, std::shared_ptr<TlsContext> tls);

  std::string m_server;
  std::string m_secret;
  BlockingHttpClient m_client;
};

}  // namespace jaymast
