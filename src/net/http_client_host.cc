#include "net/http_client_host.h"

#include <algorithm>
#include <utility>

#include "net/endpoint.h"
#include "net/http_client_connection.h"
#include "net/http_client_load.h"

namespace jaymast {
namespace {

/// A request without any byte of its response for this time is a sign that its connection is dead; a busy server may
/// take longer than a short deadline. Shorter than most deadlines, so that one missed deadline is enough to detect it.
constexpr std::chrono::milliseconds kSilentTime{400};

}  // namespace

HttpClientHost::HttpClientHost(boost::asio::io_context& context, std::string address, const HttpClientOptions& options,
                               std::shared_ptr<MemoryBudget> budget, std::shared_ptr<ReceiveTime> last_received,
                               std::shared_ptr<HttpClientLoad> load)
    : m_context(context),
      m_address(std::move(address)),
      m_options(options),
      m_budget(std::move(budget)),
      m_last_received(std::move(last_received)),
      m_load(std::move(load)),
      m_late_timer(context),
      m_idle_sweep_timer(context) {}

void HttpClientHost::Send(HttpRequest request, HttpClient::Deadline deadline, HttpClient::Callback done) {
  const auto pending = std::make_shared<PendingRequest>(m_context, std::move(request), std::move(done));
  if (m_queued.size() >= m_options.max_queued_per_host) {
    return Complete(*pending, HttpResult{SendStatus::kNotSent, {}, m_address + ": too many queued requests"});
  }
  StartTimer(pending, deadline);
  m_queued.push_back(pending);
  DispatchQueued();
}

void HttpClientHost::Complete(PendingRequest& pending, HttpResult result) {
  if (pending.is_complete) return;
  pending.is_complete = true;
  pending.timer.cancel();
  const HttpClient::Callback done = std::move(pending.done);
  done(std::move(result));
}

void HttpClientHost::OnConnected(const std::shared_ptr<HttpClientConnection>& connection) {
  --m_connecting_count;
  OnIdle(connection);
}

void HttpClientHost::OnIdle(const std::shared_ptr<HttpClientConnection>& connection) {
  if (RemoveLate(*connection)) ++m_load->late_responses;
  m_idle.push_back(connection);
  ScheduleIdleSweep();
  DispatchQueued();
}

void HttpClientHost::OnConnectFailed(const std::string& reason) {
  --m_connecting_count;
  ++m_load->failed_connects;
  UpdateGauges();
  if (m_queued.empty()) return;
  const PendingPtr pending = m_queued.front();
  m_queued.pop_front();
  UpdateGauges();
  Complete(*pending, HttpResult{SendStatus::kNotSent, {}, reason});
}

void HttpClientHost::OnClosed(const HttpClientConnection& connection) {
  m_open.erase(&connection);
  if (RemoveLate(connection)) ++m_load->closed_by_miss;
  DispatchQueued();
}

void HttpClientHost::StartTimer(const PendingPtr& pending, HttpClient::Deadline deadline) {
  pending->timer.expires_at(deadline);
  pending->timer.async_wait([self = shared_from_this(), pending](boost::system::error_code ec) {
    if (!ec) self->OnDeadline(pending);
  });
}

void HttpClientHost::OnDeadline(const PendingPtr& pending) {
  if (pending->is_complete) return;
  const auto queued = std::find(m_queued.begin(), m_queued.end(), pending);
  if (queued != m_queued.end()) {
    m_queued.erase(queued);
    ++m_load->missed_queued;
    UpdateGauges();
    return Complete(*pending, HttpResult{SendStatus::kNotSent, {}, m_address + ": no connection before the deadline"});
  }
  ++m_load->missed_sent;
  const auto connection = pending->connection.lock();
  HttpResult result;
  result.reason = m_address + ": no response before the deadline";
  if (connection != nullptr) {
    result.received_bytes = connection->received_bytes();
    result.reads = connection->reads();
  }
  Complete(*pending, std::move(result));
  if (connection != nullptr) OnMissed(connection);
}

void HttpClientHost::OnMissed(const ConnectionPtr& connection) {
  const auto now = std::chrono::steady_clock::now();
  const auto silent_at = connection->sent_at() + kSilentTime;
  if (connection->DiscardResponse()) {
    m_late.push_back({connection, silent_at, now + m_options.late_response_time});
  } else {
    if (now >= silent_at) CloseIdleIfSilentSince(connection->sent_at());
    ++m_load->closed_by_miss;
    connection->Close();
  }
  CheckLate();
  DispatchQueued();
}

void HttpClientHost::CheckLate() {
  const auto now = std::chrono::steady_clock::now();
  std::vector<ConnectionPtr> silent;
  std::vector<ConnectionPtr> expired;
  auto next_check = HttpClient::Deadline::max();
  for (LateConnection& late : m_late) {
    if (late.silent_at <= now) {
      late.silent_at = HttpClient::Deadline::max();
      silent.push_back(late.connection);
    }
    if (late.close_at <= now) {
      expired.push_back(late.connection);
    } else {
      next_check = std::min({next_check, late.silent_at, late.close_at});
    }
  }
  if (next_check != HttpClient::Deadline::max()) {
    m_late_timer.expires_at(next_check);
    m_late_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
      if (!ec) self->CheckLate();
    });
  }
  for (const ConnectionPtr& connection : silent) CloseIdleIfSilentSince(connection->sent_at());
  for (const ConnectionPtr& connection : expired) connection->Close();
  if (!silent.empty() && !m_queued.empty()) DispatchQueued();
}

/// @return whether the connection waited for a late response
bool HttpClientHost::RemoveLate(const HttpClientConnection& connection) {
  const auto found = std::find_if(m_late.begin(), m_late.end(),
                                  [&connection](const auto& late) { return late.connection.get() == &connection; });
  if (found == m_late.end()) return false;
  m_late.erase(found);
  if (m_late.empty()) m_late_timer.cancel();
  return true;
}

/// Closes the idle connections that were open at the given time, unless one that was open has received anything since.
/// Connections that were opened later prove nothing, as new ones may work while old ones are dead.
void HttpClientHost::CloseIdleIfSilentSince(std::chrono::steady_clock::time_point sent_at) {
  if (!m_options.closes_idle_on_timeout) return;
  const auto is_proof = [sent_at](const HttpClientConnection* connection) {
    return connection->connected_at() <= sent_at && connection->received_at() >= sent_at;
  };
  if (std::any_of(m_open.begin(), m_open.end(), is_proof)) return;
  const auto first_closed = std::stable_partition(
      m_idle.begin(), m_idle.end(), [sent_at](const auto& connection) { return connection->connected_at() > sent_at; });
  const std::vector<ConnectionPtr> closed(first_closed, m_idle.end());
  m_idle.erase(first_closed, m_idle.end());
  m_load->idle_closed_by_miss += closed.size();
  for (const ConnectionPtr& connection : closed) connection->Close();
}

void HttpClientHost::DispatchQueued() {
  while (!m_queued.empty()) {
    const ConnectionPtr connection = TakeIdle();
    if (connection == nullptr) break;
    const PendingPtr pending = m_queued.front();
    m_queued.pop_front();
    ++m_load->requests;
    if (connection->sent_at() != HttpClient::Deadline{}) ++m_load->reused_requests;
    connection->Send(pending);
  }
  while (m_connecting_count < m_queued.size() && MakeRoom()) Connect();
  UpdateGauges();
}

/// Makes room for one more connection. Half of them may wait for late responses while requests are queued, unless the
/// oldest one has been silent for kSilentTime.
/// @return false if the limit is reached
bool HttpClientHost::MakeRoom() {
  if (m_open.size() < m_options.max_connections_per_host) return true;
  if (m_late.empty()) return false;
  const bool is_silent = m_late.front().connection->sent_at() + kSilentTime <= std::chrono::steady_clock::now();
  if (!is_silent && m_late.size() <= m_options.max_connections_per_host / 2) return false;
  // A copy, as closing removes the element.
  const ConnectionPtr oldest = m_late.front().connection;
  oldest->Close();
  return m_open.size() < m_options.max_connections_per_host;
}

HttpClientHost::ConnectionPtr HttpClientHost::TakeIdle() {
  while (!m_idle.empty()) {
    ConnectionPtr connection = std::move(m_idle.back());
    m_idle.pop_back();
    if (!connection->IsStale()) return connection;
    boost::asio::post(m_context, [connection] { connection->Close(); });
  }
  return nullptr;
}

void HttpClientHost::Connect() {
  const auto endpoint = ParseEndpoint(m_address);
  if (!endpoint) {
    const std::deque<PendingPtr> queued = std::exchange(m_queued, {});
    for (const PendingPtr& pending : queued) {
      Complete(*pending, HttpResult{SendStatus::kNotSent, {}, m_address + ": " + endpoint.error().reason});
    }
    return;
  }
  const ConnectionPtr connection = HttpClientConnection::Make(shared_from_this());
  m_open.insert(connection.get());
  ++m_connecting_count;
  ++m_load->connects;
  connection->Connect(*endpoint);
}

void HttpClientHost::ScheduleIdleSweep() {
  if (m_is_idle_sweep_scheduled) return;
  m_is_idle_sweep_scheduled = true;
  m_idle_sweep_timer.expires_after(m_options.idle_timeout);
  m_idle_sweep_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
    const auto self = weak.lock();
    if (!ec && self) self->CloseExpiredIdle();
  });
}

void HttpClientHost::CloseExpiredIdle() {
  m_is_idle_sweep_scheduled = false;
  const auto oldest = std::chrono::steady_clock::now() - m_options.idle_timeout;
  const auto first_kept = std::find_if(m_idle.begin(), m_idle.end(),
                                       [oldest](const auto& connection) { return connection->idle_since() > oldest; });
  const std::vector<std::shared_ptr<HttpClientConnection>> expired(m_idle.begin(), first_kept);
  m_idle.erase(m_idle.begin(), first_kept);
  for (const auto& connection : expired) connection->Close();
  if (!m_idle.empty()) ScheduleIdleSweep();
  UpdateGauges();
}

void HttpClientHost::UpdateGauges() {
  const bool is_empty = m_queued.empty();
  m_gauges.oldest_queued_at = is_empty ? std::chrono::steady_clock::time_point::max() : m_queued.front()->queued_at;
  m_gauges.queued = m_queued.size();
  m_gauges.open = m_open.size();
  m_gauges.connecting = m_connecting_count;
  m_gauges.idle = m_idle.size();
  m_gauges.late = m_late.size();
}

}  // namespace jaymast
