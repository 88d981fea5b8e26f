#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "base/result.h"

namespace boost::asio::ssl {
class context;
}  // namespace boost::asio::ssl

namespace jaymast {

/// Paths of the PEM files of a TLS client or server.
struct TlsFiles {
  std::string certificate;           ///< certificate chain, empty for a client without a certificate
  std::string key;                   ///< private key of the certificate
  std::string authority;             ///< CA certificates for verifying peers, empty to accept any peer
  bool require_certificate = false;  ///< whether a server rejects clients without a certificate signed by `authority`
};

/// Loads and reloads the TLS parameters for new connections. Open connections keep the parameters they started with.
class TlsContext {
 public:
  /// @return the context, or an error with the path of the invalid file
  static Result<std::shared_ptr<TlsContext>> Load(TlsFiles files);

  /// Reloads the files. On error the previous parameters stay in use.
  /// @return true, or an error with the path of the invalid file
  Result<bool> Reload();

  /// Returns the parameters for a new connection.
  std::shared_ptr<boost::asio::ssl::context> Current() const;

 private:
  explicit TlsContext(TlsFiles files);

  TlsFiles m_files;
  mutable std::mutex m_mutex;
  std::shared_ptr<boost::asio::ssl::context> m_context;
};

}  // namespace jaymast
