#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <random>

#include "kernel/http-server.h"
#include "kernel/http1-server.h"
#include "kernel/loop.h"
#include "kernel/tcp-stream.h"

/// Sends random valid, mutated and ambiguous requests to both HTTP servers over loopback sockets.

namespace bluebellpass {
namespace {

using Random = std::mt19937;

constexpr std::size_t kAccountBytes = 1U << 20U;
constexpr std::size_t kMaxBodyBytes = 64U << 10U;
constexpr int kMaxIterations = 2'000;
constexpr int kInputs = 1'500;
constexpr Millis kIdleTimeout{60'000};
constexpr char kPlainRequest[] = "GET /plain HTTP/1.1\r\nHost: h\r\n\r\n";

std::size_t Choose(Random& random, std::size_t count) { return random() % count; }

/// A POST and the body that the handler must receive.
struct Request {
  std::string text;
  std::string body;
};

std::string RandomBody(Random& random) {
  std::string body(Choose(random, 3) == 0 ? Choose(random, 20'000) : Choose(random, 100), '\0');
  // Includes bytes that look like framing.
  for (char& c : body) c = "ab0\r\n;:G\xff"[Choose(random, 9)];
  return body;
}

std::string ChunkLine(Random& random, std::size_t size) {
  char line[32];
  std::snprintf(line, sizeof(line), Choose(random, 2) == 0 ? "%zx" : "%zX", size);
  const std::string zeros(Choose(random, 4), '0');
  const char* extensions[] = {"", "", ";a", ";a=b", ";a=\"b\"", ";a=b;c=d"};
  return zeros + line + extensions[Choose(random, std::size(extensions))] + "\r\n";
}

Request ValidRequest(Random& random) {
  Request request;
  request.body = RandomBody(random);
  request.text = "POST /valid HTTP/1.1\r\nHost: h\r\n";
  if (Choose(random, 2) == 0) {
    request.text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
    request.text += request.body;
    return request;
  }
  request.text += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < request.body.size();) {
    const std::size_t size = std::min(1 + Choose(random, 4'000), request.body.size() - at);
    request.text += ChunkLine(random, size) + request.body.substr(at, size) + "\r\n";
    at += size;
  }
  request.text += Choose(random, 2) == 0 ? "0\r\n\r\n" : "0\r\nTrailer-Field: v\r\n\r\n";
  return request;
}

/// @return a request whose body two servers could delimit differently
std::string AmbiguousRequest(Random& random) {
  const char* fields[] = {
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
      "Content-Length: 5\r\nContent-Length: 6\r\n",
      "Content-Length: 0\r\nContent-Length: 5\r\n",
      "Content-Length: 5, 6\r\n",
      "Content-Length: -5\r\n",
      "Content-Length: +5\r\n",
      "Content-Length: 99999999999999999999999\r\n",
  };
  // Servers may ignore an empty line before a request.
  return std::string(Choose(random, 4) == 0 ? "\r\n" : "") +
         "POST /ambiguous HTTP/1.1\r\nHost: h\r\n" + fields[Choose(random, std::size(fields))] +
         "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n";
}

std::string MutatedRequest(Random& random) {
  std::string text = ValidRequest(random).text;
  const char* pieces[] = {"\n",  "\r",  "\r\n\r\n", "-1\r\n", "+5\r\n", "ffffffffffffffff\r\n",
                          "0x5", ";;=", "\0x",      " ",      "0\r\n",  "10000000000000000000\r\n"};
  for (std::size_t count = 1 + Choose(random, 4); count > 0 && !text.empty(); --count) {
    const std::size_t at = Choose(random, std::min<std::size_t>(text.size(), 200));
    switch (Choose(random, 3)) {
      case 0:
        text.insert(at, pieces[Choose(random, std::size(pieces))]);
        break;
      case 1:
        text.erase(at, 1 + Choose(random, 8));
        break;
      default:
        text[at] = static_cast<char>(random());
    }
  }
  return text;
}

/// A client that sends text in pieces.
class Client {
 public:
  Client(EventLoop& loop, const Address& address)
      : m_stream(TcpStream::Connect(loop, address, TcpKeepAlive{}, [] {})) {
    m_stream->OnEnd([](StreamEndReason) {});
    m_stream->Read([this](std::string_view bytes) { received.append(bytes); });
  }
  ~Client() { m_stream->Close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(const std::string& text) { m_stream->Write(text); }
  bool IsOpen() const { return m_stream->IsOpen(); }
  bool HasSentAll() const { return m_stream->PendingBytes() == 0; }

  std::string received;

 private:
  std::shared_ptr<TcpStream> m_stream;
};

/// What the handler of a server has received.
struct Handled {
  std::vector<std::string> paths;
  std::vector<std::string> bodies;
};

/// A server and how to talk to it. The account is absent for a server that has none.
class Harness {
 public:
  Harness(EventLoop& loop, const Address& address, Handled& handled,
          std::function<std::size_t()> held_bytes)
      : m_loop(loop), m_address(address), m_handled(handled), m_held_bytes(std::move(held_bytes)) {}

  void Run(unsigned seed) {
    Random random(seed);
    for (int i = 0; i < kInputs; ++i) {
      BOOST_TEST_CONTEXT("seed " << seed << ", input " << i) {
        m_handled = {};
        switch (i % 3) {
          case 0:
            CheckValid(random);
            break;
          case 1:
            CheckAmbiguous(random);
            break;
          default: {
            Client client(m_loop, m_address);
            SendInPieces(random, client, MutatedRequest(random));
          }
        }
        CheckServes();
      }
    }
  }

 private:
  bool RunUntil(const std::function<bool()>& condition) {
    for (int i = 0; i < kMaxIterations && !condition(); ++i) m_loop.RunOnce(Millis{5});
    return condition();
  }
  void SendInPieces(Random& random, Client& client, const std::string& text) {
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t size = 1 + Choose(random, Choose(random, 2) == 0 ? 3 : text.size());
      // Small pieces of a long text would take too many iterations.
      const std::size_t end = at > 300 ? text.size() : std::min(text.size(), at + size);
      client.Send(text.substr(at, end - at));
      at = end;
      m_loop.RunOnce(Millis{0});
    }
    RunUntil([&] { return client.HasSentAll() || !client.IsOpen(); });
  }
  void CheckValid(Random& random) {
    Client client(m_loop, m_address);
    std::vector<std::string> bodies;
    std::string text;
    // Pipelined requests, which are handled in order.
    for (std::size_t count = 1 + Choose(random, 3); count > 0; --count) {
      const Request request = ValidRequest(random);
      text += request.text;
      bodies.push_back(request.body);
    }
    SendInPieces(random, client, text);
    BOOST_TEST(RunUntil([&] { return m_handled.bodies.size() == bodies.size(); }));
    BOOST_TEST((m_handled.bodies == bodies));
  }
  void CheckAmbiguous(Random& random) {
    Client client(m_loop, m_address);
    const std::string text = AmbiguousRequest(random);
    SendInPieces(random, client, text);
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST(RunUntil([&] { return client.received.size() > 12; }));
      const std::string status = client.received.substr(0, 12);
      // A length beyond all limits may also be too large.
      const bool is_refused =
          status == "HTTP/1.1 400" ||
          (status == "HTTP/1.1 413" && text.find("999999") != std::string::npos);
      BOOST_TEST(is_refused, status);
      BOOST_TEST(m_handled.paths.empty());
    }
  }
  void CheckServes() {
    Client client(m_loop, m_address);
    client.Send(kPlainRequest);
    BOOST_TEST(RunUntil([&] { return client.received.starts_with("HTTP/1.1 200"); }));
    BOOST_TEST(m_held_bytes() <= kAccountBytes);
    client.Send("GET / HTTP/1.1\r\nConnection: close\r\nHost: h\r\n\r\n");
    BOOST_TEST(RunUntil([&] { return !client.IsOpen(); }));
    BOOST_TEST(RunUntil([&] { return m_held_bytes() == 0; }));
  }

  EventLoop& m_loop;
  Address m_address;
  Handled& m_handled;
  std::function<std::size_t()> m_held_bytes;
};

}  // namespace

// Guards against a gateway that loses bytes, keeps memory, handles a request of ambiguous length or
// no longer serves after some input.
BOOST_AUTO_TEST_CASE(GatewayServerWithstandsRandomFraming) {
  EventLoop loop;
  MemoryAccount account(kAccountBytes);
  Handled handled;
  Http1Server server(
      loop, {.max_body_bytes = kMaxBodyBytes, .idle_timeout = kIdleTimeout},
      [&](const std::shared_ptr<HttpExchange>& exchange) {
        handled.paths.push_back(exchange->Head().target);
        handled.bodies.push_back(exchange->Body());
        exchange->Send(200, {}, "ok");
      },
      &account);
  const Address address = std::get<Address>(server.Listen({"127.0.0.1", 0}));
  Harness harness(loop, address, handled, [&] { return account.Used(); });
  for (const unsigned seed : {1U, 2U}) harness.Run(seed);
}

// Guards against the same faults of the entry daemon's server.
BOOST_AUTO_TEST_CASE(EntryServerWithstandsRandomFraming) {
  EventLoop loop;
  Handled handled;
  HttpServer server(loop, {.max_body_bytes = kMaxBodyBytes, .max_unfinished_bytes = kAccountBytes},
                    [&](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
                      handled.paths.push_back(request.path);
                      handled.bodies.push_back(request.body);
                      responder->Send(200, {}, "ok");
                    });
  const Address address = std::get<Address>(server.Listen({"127.0.0.1", 0}));
  Harness harness(loop, address, handled, [&] { return server.UnfinishedRequestBytes(); });
  for (const unsigned seed : {1U, 2U}) harness.Run(seed);
}

// Guards against a response that is cut when the connection closes after it.
BOOST_AUTO_TEST_CASE(LastResponseIsCompleteBeforeTheClose) {
  constexpr std::size_t response_bytes = 16U << 20U;
  EventLoop loop;
  Http1Server server(loop, {}, [&](const std::shared_ptr<HttpExchange>& exchange) {
    exchange->Send(200, {}, std::string(response_bytes, 'x'));
  });
  Client client(loop, std::get<Address>(server.Listen({"127.0.0.1", 0})));
  client.Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  for (int i = 0; i < kMaxIterations && client.IsOpen(); ++i) loop.RunOnce(Millis{5});
  BOOST_TEST(client.received.size() > response_bytes);
}

}  // namespace bluebellpass
