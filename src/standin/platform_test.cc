#include <gtest/gtest.h>

#include <string>

#include "standin/lagging_list.h"
#include "standin/object_store.h"
#include "standin/rate_cap.h"
#include "standin/table_service.h"

namespace jaymast {
namespace {

Time At(std::int64_t millis) { return Time(std::chrono::milliseconds(millis)); }

HttpCall PutRow(const std::string& id, const std::string& value) {
  return EncodeTableRequest(Transaction{TransactionId(id), {}, {{"k", value}}});
}

CommitStatus StatusOf(const std::optional<TableService::Answer>& answer) {
  return DecodeCommitReply(answer.value().body).value().status;
}

// Guards against a fake that is faster than the platform, which would hide an entry that writes too often.
TEST(RateCapTest, AdmitsTheBudgetAndNoMore) {
  RateCap cap(100);
  int admitted = 0;
  for (std::int64_t ms = 0; ms < 10'000; ++ms) admitted += cap.Admit(At(ms)) ? 1 : 0;
  EXPECT_GE(admitted, 1000);
  EXPECT_LE(admitted, 1011);
  EXPECT_TRUE(RateCap(0).Admit(At(0)));
}

TEST(TableServiceTest, BusyAnswerHasNoEffect) {
  TableService service(1000, 1);
  EXPECT_EQ(StatusOf(service.Handle(PutRow("a", "1"), At(0))), CommitStatus::kCommitted);
  const auto busy = service.Handle(PutRow("b", "2"), At(0));
  EXPECT_EQ(busy.value().status, 429);
  EXPECT_EQ(StatusOf(busy), CommitStatus::kNotSent);
  EXPECT_EQ(service.store().rows().at("k").value, "1");
  EXPECT_EQ(StatusOf(service.Handle(PutRow("b", "2"), At(1000))), CommitStatus::kCommitted);
}

// Guards against a lost answer whose write cannot be found again by its transaction id.
TEST(TableServiceTest, LostAnswerIsFoundByLookupAndAnOutageHasNoEffect) {
  TableService service(0, 0);
  service.SetFaults(TableFaults{false, true, {}});
  EXPECT_FALSE(service.Handle(PutRow("a", "1"), At(0)));
  service.SetFaults(TableFaults{true, false, {}});
  EXPECT_FALSE(service.Handle(PutRow("b", "2"), At(0)));
  service.SetFaults({});
  const auto lookup = [&service](const char* id) {
    const HttpCall call = EncodeTableRequest(LookupRequest{TransactionId(id)});
    return DecodeLookupReply(service.Handle(call, At(0)).value().body).value().status;
  };
  EXPECT_EQ(lookup("a"), LookupStatus::kCommitted);
  EXPECT_EQ(lookup("b"), LookupStatus::kAbsent);
  EXPECT_EQ(StatusOf(service.Handle(PutRow("b", "2"), At(0))), CommitStatus::kConflict);
  EXPECT_EQ(service.Handle(HttpCall{"GET", "/v1/unknown", ""}, At(0)).value().status, 404);
}

TEST(LaggingListTest, ChangesShowAfterTheLag) {
  UpstreamInfo info;
  info.id = UpstreamId("u1");
  LaggingList list(InstanceList{{info}}, std::chrono::milliseconds(500));
  list.SetLeaving({UpstreamId("u1")}, At(100));
  list.SetLeaving({}, At(200));
  EXPECT_FALSE(list.Visible(At(599)).upstreams[0].leaving);
  EXPECT_TRUE(list.Visible(At(600)).upstreams[0].leaving);
  EXPECT_FALSE(list.Visible(At(700)).upstreams[0].leaving);
}

TEST(ObjectStoreTest, TotalSizeIsBounded) {
  ObjectStore store(10);
  EXPECT_TRUE(store.Put("a", "123456"));
  EXPECT_FALSE(store.Put("b", "12345"));
  EXPECT_TRUE(store.Put("a", "1"));
  EXPECT_TRUE(store.Put("b", "12345"));
  EXPECT_EQ(store.Get("a"), "1");
  store.Delete("a");
  EXPECT_EQ(store.Get("a"), std::nullopt);
  EXPECT_EQ(store.bytes(), 5U);
}

}  // namespace
}  // namespace jaymast
