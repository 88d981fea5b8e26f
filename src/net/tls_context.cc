#include "net/tls_context.h"

#include <boost/asio/ssl/context.hpp>
#include <utility>

namespace jaymast {
namespace {

namespace ssl = boost::asio::ssl;

Error FileError(const std::string& file, const boost::system::error_code& ec) {
  return Error{ErrorId::kInputField, file, "cannot use TLS file: " + ec.message()};
}

Result<std::shared_ptr<ssl::context>> MakeContext(const TlsFiles& files) {
  auto context = std::make_shared<ssl::context>(ssl::context::tls);
  context->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                       ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
  boost::system::error_code ec;
  if (!files.certificate.empty()) {
    context->use_certificate_chain_file(files.certificate, ec);
    if (ec) return FileError(files.certificate, ec);
    context->use_private_key_file(files.key, ssl::context::pem, ec);
    if (ec) return FileError(files.key, ec);
  }
  if (files.authority.empty()) return context;
  context->load_verify_file(files.authority, ec);
  if (ec) return FileError(files.authority, ec);
  // A client always verifies the server. A server verifies a client certificate if one is sent, and requires one only
  // with `require_certificate`.
  const ssl::verify_mode strict = files.require_certificate ? ssl::verify_fail_if_no_peer_cert : 0;
  context->set_verify_mode(ssl::verify_peer | strict, ec);
  if (ec) return FileError(files.authority, ec);
  return context;
}

}  // namespace

TlsContext::TlsContext(TlsFiles files) : m_files(std::move(files)) {}

Result<std::shared_ptr<TlsContext>> TlsContext::Load(TlsFiles files) {
  std::shared_ptr<TlsContext> context(new TlsContext(std::move(files)));
  const Result<bool> loaded = context->Reload();
  if (!loaded) return loaded.error();
  return context;
}

Result<bool> TlsContext::Reload() {
  Result<std::shared_ptr<ssl::context>> context = MakeContext(m_files);
  if (!context) return context.error();
  const std::lock_guard lock(m_mutex);
  m_context = std::move(*context);
  return true;
}

std::shared_ptr<ssl::context> TlsContext::Current() const {
  const std::lock_guard lock(m_mutex);
  return m_context;
}

}  // namespace jaymast
