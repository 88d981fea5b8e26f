#include "net/memory_budget.h"

#include <gtest/gtest.h>

#include <memory>

namespace jaymast {
namespace {

constexpr std::size_t kKilobyte = 1024;

struct FakeHolder : MemoryBudget::Holder {
  void Evict() override { ++evictions; }
  int evictions = 0;
};

class MemoryBudgetTest : public testing::Test {
 protected:
  bool Hold(const std::shared_ptr<FakeHolder>& holder, std::size_t kilobytes) {
    return m_budget.Hold(holder, kilobytes * kKilobyte, MemoryBudget::Phase::kTransfer);
  }

  MemoryBudget m_budget{1000 * kKilobyte};
  const std::shared_ptr<FakeHolder> m_first = std::make_shared<FakeHolder>();
  const std::shared_ptr<FakeHolder> m_second = std::make_shared<FakeHolder>();
  const std::shared_ptr<FakeHolder> m_third = std::make_shared<FakeHolder>();
};

// Guards against a new request that displaces a newer one than the oldest.
TEST_F(MemoryBudgetTest, EvictsTheOldestFirst) {
  EXPECT_TRUE(Hold(m_first, 400));
  EXPECT_TRUE(Hold(m_second, 400));
  EXPECT_TRUE(Hold(m_second, 500));
  EXPECT_TRUE(Hold(m_third, 400));
  EXPECT_EQ(m_first->evictions, 1);
  EXPECT_EQ(m_second->evictions, 0);
  EXPECT_EQ(m_budget.held_bytes(), 900 * kKilobyte);
  EXPECT_EQ(m_budget.evicted(), 1U);
}

// Guards against small requests of ordinary callers that are given up for large ones.
TEST_F(MemoryBudgetTest, KeepsSmallRequestsOverLargeOnes) {
  EXPECT_TRUE(Hold(m_first, 60));
  EXPECT_TRUE(Hold(m_second, 900));
  EXPECT_TRUE(Hold(m_third, 60));
  EXPECT_EQ(m_first->evictions, 0);
  EXPECT_EQ(m_second->evictions, 1);
}

// Guards against a request without a true outcome: what may already run is not given up.
TEST_F(MemoryBudgetTest, KeepsRequestsThatWaitForTheirResponse) {
  EXPECT_TRUE(m_budget.Hold(m_first, 900 * kKilobyte, MemoryBudget::Phase::kHandling));
  EXPECT_FALSE(Hold(m_second, 200));
  EXPECT_EQ(m_first->evictions, 0);
  EXPECT_EQ(m_budget.held_bytes(), 900 * kKilobyte);
  m_budget.Release(m_first.get());
  EXPECT_TRUE(Hold(m_second, 200));
}

// Guards against memory that is counted although its connection is closed.
TEST_F(MemoryBudgetTest, ReleaseIsCountedOnce) {
  EXPECT_TRUE(Hold(m_first, 100));
  m_budget.Release(m_first.get());
  m_budget.Release(m_first.get());
  EXPECT_EQ(m_budget.held_bytes(), 0U);
}

}  // namespace
}  // namespace jaymast
