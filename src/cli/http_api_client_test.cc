#include "cli/http_api_client.h"

#include <gtest/gtest.h>

#include <fstream>
#include <string>

namespace jaymast {
namespace {

// Guards against a start with settings that can only fail later.
TEST(HttpApiClientTest, UnusableSettingsAreRefusedWithTheirPath) {
  ClientSettings settings;
  settings.server = "host.example:80";
  EXPECT_EQ(HttpApiClient::Open(settings).error().path, "server");
  settings.server = "127.0.0.1:1";
  settings.key_file = testing::TempDir() + "absent-key";
  EXPECT_EQ(HttpApiClient::Open(settings).error().path, settings.key_file);
}

// Guards against an unreachable entry that is reported as a request which may have run. Port 1 on loopback is closed.
TEST(HttpApiClientTest, ARefusedConnectionMeansNotSent) {
  ClientSettings settings;
  settings.server = "127.0.0.1:1";
  auto client = HttpApiClient::Open(settings);
  ASSERT_TRUE(client);
  ApiCall call;
  call.method = "GET";
  call.target = "/v1/status";
  EXPECT_EQ((*client)->Send(call).error().id, ErrorId::kNotServing);
}

}  // namespace
}  // namespace jaymast
