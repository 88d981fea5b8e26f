#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "net/blocking_http_client.h"
#include "testing/child_process.h"
#include "testing/client_crowd.h"
#include "testing/client_scripts.h"

namespace jaymast {
namespace {

using std::chrono::milliseconds;

/// Limit on waits for events that must happen. Tests do not depend on how soon they do.
constexpr milliseconds kTestTimeout{20'000};
/// Limit on the time for which a crowd sends.
constexpr milliseconds kSendTimeout{30'000};
constexpr milliseconds kPollInterval{20};
/// Bound on the resident memory of a process that holds about 20 MB when idle.
constexpr std::int64_t kMaxResidentKb = 65'536;
constexpr std::int64_t kMaxDescriptors = 128;
constexpr std::size_t kMaxBodyBytes = 1'000'000;
constexpr const char* kTarget = "/v1/tasks";

/// Runs jaymast-entry without its platform services, with a low limit on bodies and connections.
class EntryClientLimitsTest : public testing::Test {
 protected:
  EntryClientLimitsTest() {
    // An address of its own, as tests of other builds may run on the same machine.
    const int number = static_cast<int>(::getpid());
    m_ip = "127." + std::to_string(64 + number % 64) + "." + std::to_string(number / 64 % 256) + ".1";
    const std::string base = testing::TempDir() + "jaymast-entry-" + std::to_string(number);
    std::ofstream(base + ".toml") << "name = \"e1\"\ndomain = \"north\"\ntraffic_threads = 2\n"
                                  << "[http]\naddress = \"" << address() << "\"\nmax_body_bytes = " << kMaxBodyBytes
                                  << "\nmax_header_bytes = 8192\nmax_connections = 64\n"
                                  << "[peer]\naddress = \"" << m_ip << ":7312\"\n"
                                  << "[platform]\ntable = \"127.0.0.1:1\"\ninstances = \"127.0.0.1:1\"\n"
                                  << "[events]\noutput = \"none\"\n";
    m_process = std::make_unique<ChildProcess>(JAYMAST_ENTRY, std::vector<std::string>{"--config", base + ".toml"},
                                               std::vector<std::string>{}, base + ".log");
    const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
    while (OrdinaryResponse().empty() && std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  std::string address() const { return m_ip + ":7311"; }
  std::string peer_address() const { return m_ip + ":7312"; }

  /// Body of the response to a task of 200,000 bytes over a new connection; empty without a response.
  std::string OrdinaryResponse() const {
    HttpRequest request{"POST", kTarget, {}, R"({"team":"t","body":")" + std::string(200'000, 'x') + "\"}"};
    BlockingHttpClient client;
    const HttpResult result = client.Call(address(), std::move(request), kTestTimeout);
    return result.response.body;
  }

  /// Lets a crowd send, and checks the process while the connections of the crowd are open.
  void ExpectEntryWithstands(std::size_t clients, ClientScript script) {
    ExpectEntryWithstands(address(), clients, std::move(script));
  }

  void ExpectEntryWithstands(const std::string& target, std::size_t clients, ClientScript script) {
    // The decision of an entry without its table service, which no other part of the process makes.
    constexpr const char* kDecision = "jaymast.entry.not-serving";
    ASSERT_NE(OrdinaryResponse().find(kDecision), std::string::npos) << OrdinaryResponse();
    ClientCrowd crowd(target, clients, std::move(script));
    crowd.Send(kSendTimeout);
    const std::string response = OrdinaryResponse();
    EXPECT_NE(response.find(kDecision), std::string::npos) << response;
    ASSERT_TRUE(m_process->IsAlive());
    EXPECT_LE(m_process->PeakResidentKb(), kMaxResidentKb);
    EXPECT_LE(m_process->OpenDescriptors(), kMaxDescriptors);
    RecordProperty("peak_resident_kb", std::to_string(m_process->PeakResidentKb()));
  }

  std::string m_ip;
  std::unique_ptr<ChildProcess> m_process;
};

// Guards against trailers that are held without a limit.
TEST_F(EntryClientLimitsTest, EndlessTrailers) { ExpectEntryWithstands(40, EndlessTrailers(kTarget, 4U << 20U)); }

// Guards against bodies that are read beyond the limit because the header announces them.
TEST_F(EntryClientLimitsTest, AnnouncedBodyOverTheLimit) {
  ExpectEntryWithstands(40, AnnouncedBody(kTarget, 9'000'000'000, 4U << 20U));
}

// Guards against bodies that are read beyond the limit because no length is announced.
TEST_F(EntryClientLimitsTest, ChunkedBodyOverTheLimit) {
  ExpectEntryWithstands(60, EndlessChunks(kTarget, "10000", 8U << 20U));
}

// Guards against a sum of announced bodies without a limit.
TEST_F(EntryClientLimitsTest, AnnouncedBodiesThatStayOpen) {
  ExpectEntryWithstands(60, AnnouncedBody(kTarget, kMaxBodyBytes, kMaxBodyBytes - 8192));
}

// Guards against a sum of chunked bodies without a limit.
TEST_F(EntryClientLimitsTest, LargeChunksThatStayOpen) {
  ExpectEntryWithstands(60, EndlessChunks(kTarget, "4000", kMaxBodyBytes - 16'384));
}

// Guards against a sum of bodies without a limit whose chunks are very small.
TEST_F(EntryClientLimitsTest, SmallChunksThatStayOpen) {
  ExpectEntryWithstands(60, EndlessChunks(kTarget, "10", kMaxBodyBytes - 16'384));
}

// Guards against senders that are no entries and make the process hold frames up to the limit of entries.
TEST_F(EntryClientLimitsTest, UnfinishedFramesToThePeerAddress) {
  ExpectEntryWithstands(peer_address(), 40, UnfinishedFrame(3'900'000));
}

// Guards against clients with unfinished requests that keep all connections from others.
TEST_F(EntryClientLimitsTest, UnfinishedHeadersOnAllConnections) {
  ExpectEntryWithstands(100, UnfinishedHeader(kTarget));
}

}  // namespace
}  // namespace jaymast
