#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "base/result.h"

namespace boost::asio::ssl {
class context;
}  // namespace boost::asio::ssl

namespace jaymast {

/// Files of one TLS side, in PEM format.
struct TlsFiles {
  std::string certificate;           ///< certificate chain, empty for a client without a certificate
  std::string key;                   ///< private key of the certificate
  std::string authority;             ///< certificates that sign accepted peers, empty to accept any peer
  bool require_certificate = false;  ///< a server refuses clients without a certificate that `authority` signed
};

/// TLS parameters for new connections. Connections that are open keep the parameters they started with.
class TlsContext {
 public:
  /// @return the context, or an error with the path of the file that cannot be used
  static Result<std::shared_ptr<TlsContext>> Load(TlsFiles files);

  /// Reads the files again. On error the previous parameters stay in use.
  Result<bool> Reload();

  /// Parameters for a new connection.
  std::shared_ptr<boost::asio::ssl::context> Current() const;

 private:
  explicit TlsContext(TlsFiles files);

  TlsFiles m_files;
  mutable std::mutex m_mutex;
  std::shared_ptr<boost::asio::ssl::context> m_context;
};

}  // namespace jaymast
