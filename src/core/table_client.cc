#include "core/table_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace jaymast {
namespace {

constexpr Duration kFirstLookupDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxLookupDelay = std::chrono::seconds(2);

}  // namespace

TableClient::TableClient(Context& context)
    : m_context(context),
      m_write_budget(static_cast<double>(context.settings.table_writes_per_second)),
      m_write_budget_updated_at(context.Now()) {}

void TableClient::Commit(std::vector<Condition> conditions, std::vector<Write> writes, CommitDone done,
                         std::function<void()> on_unknown) {
  Transaction transaction;
  transaction.id = TransactionId(fmt::format("{}/{}", m_context.self.value(), m_next_transaction++));
  transaction.conditions = std::move(conditions);
  transaction.writes = std::move(writes);
  m_context.effects.Commit(transaction, [this, id = transaction.id, done = std::move(done),
                                         on_unknown = std::move(on_unknown)](const CommitReply& reply) {
    m_reachable = reply.status == CommitStatus::kCommitted || reply.status == CommitStatus::kConflict;
    switch (reply.status) {
      case CommitStatus::kCommitted:
        return done(CommitOutcome::kCommitted, reply.version);
      case CommitStatus::kConflict:
        return done(CommitOutcome::kConflict, 0);
      case CommitStatus::kNotSent:
        return done(CommitOutcome::kUnavailable, 0);
      case CommitStatus::kUnknown:
        return ResolveOutcome(id, kFirstLookupDelay, done, on_unknown);
    }
  });
}

void TableClient::ResolveOutcome(const TransactionId& id, Duration delay, CommitDone done,
                                 std::function<void()> on_unknown) {
  if (on_unknown) on_unknown();
  m_context.After(delay, [this, id, delay, done = std::move(done), on_unknown = std::move(on_unknown)] {
    m_context.effects.Lookup(id, [this, id, delay, done, on_unknown](const LookupReply& reply) {
      m_reachable = reply.status != LookupStatus::kUnavailable;
      switch (reply.status) {
        case LookupStatus::kCommitted:
          return done(CommitOutcome::kCommitted, reply.version);
        case LookupStatus::kAbsent:
          return done(CommitOutcome::kUnavailable, 0);
        case LookupStatus::kUnavailable:
          return ResolveOutcome(id, std::min(delay * 2, kMaxLookupDelay), done, on_unknown);
      }
    });
  });
}

void TableClient::Read(const ReadRequest& request, ReadDone done) {
  m_context.effects.Read(request, [this, done = std::move(done)](const ReadReply& reply) {
    m_reachable = reply.available;
    done(reply);
  });
}

bool TableClient::TakeWriteBudget() {
  const Time now = m_context.Now();
  const auto rate = static_cast<double>(m_context.settings.table_writes_per_second);
  const double elapsed_s = std::chrono::duration<double>(now - m_write_budget_updated_at).count();
  m_write_budget = std::min(rate, m_write_budget + elapsed_s * rate);
  m_write_budget_updated_at = now;
  if (m_write_budget < 1.0) return false;
  m_write_budget -= 1.0;
  return true;
}

}  // namespace jaymast
