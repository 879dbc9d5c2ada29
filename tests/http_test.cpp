#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <rapidcheck/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "transport/http_client.h"
#include "transport/http_server.h"

namespace rushtrestle::transport {
namespace {

struct ParsedMessages {
  std::vector<HttpMessage> messages;
  bool ok = true;
  bool feed(MessageParser& p, const std::string& bytes) {
    ok = ok && p.feed(bytes.data(), bytes.size(),
                      [this](HttpMessage&& m, bool) { messages.push_back(std::move(m)); });
    return ok;
  }
};

std::string request(const std::string& body, bool chunked) {
  std::string text = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n";
  if (!chunked) return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  text += "Transfer-Encoding: chunked\r\n\r\n";
  char size[32];
  if (!body.empty()) {
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    text += size + body + "\r\n";
  }
  return text + "0\r\n\r\n";
}

RC_GTEST_PROP(Http, AMessageSplitAnywhereIsTheSameMessage,
              (const std::string& body, bool chunked)) {
  const std::string bytes = request(body, chunked);
  for (size_t at = 0; at <= bytes.size(); ++at) {
    MessageParser parser(HTTP_REQUEST, size_t{64} * 1024);
    ParsedMessages parsed;
    parsed.feed(parser, bytes.substr(0, at));
    parsed.feed(parser, bytes.substr(at));
    RC_ASSERT(parsed.ok);
    RC_ASSERT(parsed.messages.size() == 1u);
    RC_ASSERT(parsed.messages[0].method == "POST" && parsed.messages[0].target == "/v1/jobs" &&
              parsed.messages[0].body == body);
  }
}

RC_GTEST_PROP(Http, NoBytesCrashTheParser, (const std::string& bytes)) {
  MessageParser parser(HTTP_REQUEST, 64);
  ParsedMessages parsed;
  parsed.feed(parser, bytes);
  RC_ASSERT(parsed.messages.size() <= bytes.size());
}

TEST(Http, TooLongABodyIsMarkedAndNotKept) {
  MessageParser parser(HTTP_REQUEST, 10);
  ParsedMessages parsed;
  EXPECT_TRUE(parsed.feed(parser, request(std::string(11, 'x'), false)));
  ASSERT_EQ(parsed.messages.size(), 1u);
  EXPECT_TRUE(parsed.messages[0].too_large);
  EXPECT_TRUE(parsed.messages[0].body.empty());
}

TEST(Http, EndlessHeadersAreRefused) {
  MessageParser parser(HTTP_REQUEST, 10);
  ParsedMessages parsed;
  std::string bytes = "GET /up HTTP/1.1\r\n";
  for (int i = 0; i < 1000; ++i)
    bytes += "X-" + std::to_string(i) + ": " + std::string(20, 'y') + "\r\n";
  EXPECT_FALSE(parsed.feed(parser, bytes));
}

TEST(Http, AddressesAreCheckedInFull) {
  EXPECT_EQ(parse_address("127.0.0.1:8080").port, 8080);
  for (const char* bad :
       {"", "localhost:1", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:70000", "1.2.3.4:8x"})
    EXPECT_THROW(parse_address(bad), std::invalid_argument) << bad;
}

uint16_t free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t len = sizeof a;
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), len) != 0) throw std::runtime_error("no free port");
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &len);
  close(fd);
  return ntohs(a.sin_port);
}

TEST(Http, ServerAndClientTalkOverLoopbackWhileAnotherConnectionHangs) {
  EventLoop event_loop;
  const Address at = parse_address("127.0.0.1:" + std::to_string(free_port()));
  std::vector<ExchangeId> hanging;
  HttpServer* self = nullptr;
  HttpServer server(event_loop, at, {4, 1024, 60}, [&](ExchangeId id, HttpMessage&& m) {
    if (m.target == "/hang") {
      hanging.push_back(id);
    } else {
      self->answer(id, 200, m.body + "!", "text/plain");
    }
  });
  self = &server;
  HttpClient client(event_loop, 8, 1024);
  int answered = 0, hung_status = -1;
  client.request(at, "GET", "/hang", "", "", 0.2, [&](int status, std::string&&) {
    hung_status = status;
    if (answered == 3) event_loop.stop();
  });
  std::function<void()> next = [&] {
    client.request(at, "POST", "/x", "abc", "text/plain", 5, [&](int status, std::string&& body) {
      EXPECT_EQ(status, 200);
      EXPECT_EQ(body, "abc!");
      if (++answered < 3) {
        next();
      } else if (hung_status == 0) {
        event_loop.stop();
      }
    });
  };
  next();
  event_loop.run();
  EXPECT_EQ(answered, 3);
  EXPECT_EQ(hung_status, 0);
  EXPECT_EQ(hanging.size(), 1u);
  server.answer(hanging[0], 200, "late", "text/plain");  // the connection may be closed: no crash
}

// Guards against a listen queue that is shorter than the fleet: with room for 256 connections, the
// other workers that reconnected during one iteration of the event loop waited seconds to retry.
TEST(Http, ListenQueueHoldsAllWorkersOfAFleet) {
  EventLoop event_loop;
  const uint16_t port = free_port();
  constexpr size_t kWorkers = 600;
  HttpServer server(event_loop, parse_address("127.0.0.1:" + std::to_string(port)),
                    {kWorkers, 1024, 60}, [](ExchangeId, HttpMessage&&) {});
  std::vector<pollfd> workers;
  for (size_t i = 0; i < kWorkers; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ASSERT_GE(fd, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(port);
    const int connected = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
    ASSERT_TRUE(connected == 0 || errno == EINPROGRESS);
    workers.push_back({fd, POLLOUT, 0});
  }
  EXPECT_EQ(poll(workers.data(), workers.size(), 0),
            static_cast<int>(kWorkers));  // the event loop has not run yet
  for (const auto& worker : workers) close(worker.fd);
}

// A reply that was too large counted as no reply, so its caller asked for the same again.
TEST(Http, AReplyThatIsTooLargeIsToldFromNone) {
  EventLoop event_loop;
  const Address at = parse_address("127.0.0.1:" + std::to_string(free_port()));
  constexpr size_t kLargestReply = 1024;
  HttpServer* self = nullptr;
  HttpServer server(event_loop, at, {4, 1024, 60}, [&](ExchangeId id, HttpMessage&&) {
    self->answer(id, 200, std::string(kLargestReply + 1, 'x'), "text/plain");
  });
  self = &server;
  HttpClient client(event_loop, 8, kLargestReply);
  int status = 0;
  client.request(at, "GET", "/", "", "", 5, [&](int s, std::string&& body) {
    status = s;
    EXPECT_TRUE(body.empty());
    event_loop.stop();
  });
  event_loop.run();
  EXPECT_EQ(status, HttpClient::kReplyTooLarge);
}

TEST(Http, ARefusedConnectionHasNoStatus) {
  EventLoop event_loop;
  HttpClient client(event_loop, 8, 1024);
  int status = -1;
  client.request(parse_address("127.0.0.1:" + std::to_string(free_port())), "GET", "/", "", "", 5,
                 [&](int s, std::string&&) {
                   status = s;
                   event_loop.stop();
                 });
  event_loop.run();
  EXPECT_EQ(status, 0);
}

}  // namespace
}  // namespace rushtrestle::transport
