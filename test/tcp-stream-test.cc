#include "kernel/tcp-stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <random>

#include "kernel/h2o.h"
#include "kernel/loop.h"

namespace bluebellpass {
namespace {

constexpr int kBufferBytes = 8 << 10;
constexpr std::size_t kMaxReadBytes = 16U << 10U;
constexpr int kConnectionCount = 300;
constexpr int kRounds = 400;
// Longer writes are completed by polling, shorter ones mostly at once.
constexpr std::size_t kMaxWriteBytes = 40'000;

/// Accepts connections of plain sockets, which read only when they are told to.
struct Fixture {
  EventLoop loop;
  ListeningSocket listener = OpenListeningSocket(loop, {"127.0.0.1", 0}, 512);
  std::vector<std::shared_ptr<TcpStream>> streams;
  std::vector<int> peers;

  Fixture() {
    BOOST_REQUIRE(listener.socket != nullptr);
    listener.socket->data = this;
    h2o_socket_read_start(listener.socket, [](h2o_socket_t* socket, const char* error) {
      auto* self = static_cast<Fixture*>(socket->data);
      h2o_socket_t* accepted = error == nullptr ? h2o_evloop_socket_accept(socket) : nullptr;
      if (accepted != nullptr) self->streams.push_back(TcpStream::Accept(accepted, TcpKeepAlive{}));
    });
  }
  ~Fixture() {
    for (const int fd : peers) close(fd);
    h2o_socket_close(listener.socket);
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  void Connect() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kBufferBytes, sizeof(kBufferBytes));
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(listener.address.port);
    inet_pton(AF_INET, listener.address.ip.c_str(), &target.sin_addr);
    BOOST_REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0);
    peers.push_back(fd);
    const std::size_t count = peers.size();
    for (int i = 0; i < 1'000 && streams.size() < count; ++i) loop.RunOnce(Millis{1});
    BOOST_REQUIRE(streams.size() == count);
    setsockopt(streams.back()->Descriptor(), SOL_SOCKET, SO_SNDBUF, &kBufferBytes,
               sizeof(kBufferBytes));
  }
  /// @return number of bytes that were read
  std::size_t ReadAtPeer(std::size_t index, std::size_t max_bytes) const {
    std::array<char, 1 << 16> bytes{};
    const ssize_t count =
        recv(peers[index], bytes.data(), std::min(max_bytes, bytes.size()), MSG_DONTWAIT);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
  }
};

}  // namespace

// Guards against a process that ends by itself: h2o aborts when it polls a socket for writing after
// the callback of its write has run. That happened when a posted function wrote to a socket whose
// previous write had just completed, the new write completed at once, and the socket became
// writable later.
BOOST_FIXTURE_TEST_CASE(WritesOfPostedFunctionsDoNotAbortTheProcess, Fixture) {
  for (int i = 0; i < kConnectionCount; ++i) Connect();
  std::mt19937 random(20261205);
  std::vector<std::size_t> written(streams.size());
  std::vector<std::size_t> received(streams.size());
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < streams.size(); ++i) {
      const std::size_t size = 1 + random() % (1 + random() % kMaxWriteBytes);
      loop.Post([&stream = *streams[i], &total = written[i], size] {
        if (stream.PendingBytes() != 0) return;
        total += size;
        stream.Write(std::string(size, 'x'));
      });
      if (random() % 3 == 0) received[i] += ReadAtPeer(i, random() % kMaxReadBytes);
    }
    loop.RunOnce(Millis{0});
  }
  for (int round = 0; round < 20 * kRounds && received != written; ++round) {
    for (std::size_t i = 0; i < streams.size(); ++i) received[i] += ReadAtPeer(i, 1U << 16U);
    loop.RunOnce(Millis{0});
  }
  BOOST_TEST((received == written));
}

// Guards against the use of a socket after it was closed while a write was in progress.
BOOST_FIXTURE_TEST_CASE(StreamsCanBeClosedDuringWrites, Fixture) {
  for (int i = 0; i < kConnectionCount; ++i) Connect();
  std::mt19937 random(20261206);
  for (std::size_t i = 0; i < streams.size(); ++i) {
    streams[i]->Read([](std::string_view) {});
    streams[i]->Write(std::string(random() % kMaxWriteBytes, 'x'));
    if (random() % 2 == 0) loop.RunOnce(Millis{0});
    if (random() % 2 == 0) ReadAtPeer(i, kBufferBytes);
    if (random() % 3 == 0) close(std::exchange(peers[i], -1));
    if (random() % 2 == 0) {
      streams[i]->Close();
    } else {
      loop.Post([&stream = streams[i]] { stream.reset(); });
    }
  }
  for (int i = 0; i < 10; ++i) loop.RunOnce(Millis{0});
  for (const auto& stream : streams) BOOST_TEST((stream == nullptr || !stream->IsOpen()));
}

}  // namespace bluebellpass
