#include "peer/network.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "kernel/loop.h"

namespace bluebellpass {
namespace {

constexpr int kMaxIterations = 20'000;
const Address kAnyPort{"127.0.0.1", 0};
const std::vector<std::string> kKeys{"first key"};

/// Records the calls to a listener.
struct Recorder : PeerListener {
  std::vector<std::pair<InstanceId, std::uint64_t>> messages;
  std::vector<Incarnation> incarnations_up;
  int links_down = 0;
  int statuses = 0;
  int member_changes = 0;

  void OnPeerMessage(const InstanceId& from, const PeerMessage& message) override {
    messages.emplace_back(from, std::get<QueryMessage>(message).exchange);
  }
  void OnLinkUp(const InstanceId&, Incarnation incarnation) override {
    incarnations_up.push_back(incarnation);
  }
  void OnLinkDown(const InstanceId&) override { ++links_down; }
  void OnMembersChanged() override { ++member_changes; }
  void OnPeerStatus(const InstanceId&, const PeerStatus&) override { ++statuses; }
};

/// A network and the recorder of its events.
struct Node {
  Recorder recorder;
  std::unique_ptr<Network> network;
  Address address;

  Node(EventLoop& loop, const std::string& id, std::vector<Address> seeds,
       std::vector<std::string> keys = kKeys, Address advertised = {}, Address listen = kAnyPort,
       std::uint64_t incarnation = 1) {
    InstanceInfo info;
    info.id = InstanceId(id);
    info.incarnation = Incarnation(incarnation);
    info.peer_address = std::move(advertised);
    network = std::make_unique<Network>(loop, info, listen, std::move(keys), std::move(seeds));
    network->AddListener(&recorder);
    address = std::get<Address>(network->Listen());
  }

  bool HasLink(const std::string& id) const { return network->IsLinked(InstanceId(id)); }
  bool Send(const std::string& to, std::uint64_t number) const {
    return network->Send(InstanceId(to), QueryMessage{number, "text"});
  }
  MemberState StateOf(const std::string& id) const {
    for (const Member& member : network->Members())
      if (member.info.id.Text() == id) return member.state;
    return MemberState::kLeft;
  }
};

int OpenSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
  return target;
}

int ConnectTo(const Address& address) {
  const int fd = OpenSocket();
  const sockaddr_in target = ToSockaddr(address);
  BOOST_REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  return fd;
}

/// TCP proxy that forwards accepted connections to a target, or echoes without one. A stalled
/// connection stays open but is no longer read.
class Relay {
 public:
  Relay() : m_listener(OpenSocket()) {
    sockaddr_in own = ToSockaddr(kAnyPort);
    BOOST_REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&own), sizeof(own)) == 0);
    listen(m_listener, 16);
    fcntl(m_listener, F_SETFL, O_NONBLOCK);
    socklen_t size = sizeof(own);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&own), &size);
    address.port = ntohs(own.sin_port);
  }
  ~Relay() {
    close(m_listener);
    for (const Pair& pair : m_pairs) ClosePair(pair);
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  void Transfer() {
    const int fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) m_pairs.push_back({fd, target.port == 0 ? fd : ConnectTo(target)});
    std::erase_if(m_pairs, [](const Pair& pair) {
      if (pair.is_stalled || (CopyBytes(pair.a, pair.b) && CopyBytes(pair.b, pair.a))) return false;
      ClosePair(pair);
      return true;
    });
    accepted += fd >= 0 ? 1 : 0;
  }
  void Stall() {
    for (Pair& pair : m_pairs) pair.is_stalled = true;
  }

  Address address = kAnyPort;
  Address target;
  int accepted = 0;

 private:
  struct Pair {
    int a;
    int b;
    bool is_stalled = false;
  };
  static void ClosePair(const Pair& pair) {
    close(pair.a);
    if (pair.b != pair.a) close(pair.b);
  }
  static bool CopyBytes(int from, int to) {
    char bytes[4096];
    const ssize_t size = recv(from, bytes, sizeof(bytes), 0);
    if (size > 0) return send(to, bytes, static_cast<std::size_t>(size), MSG_NOSIGNAL) == size;
    return size < 0 && errno == EAGAIN;
  }

  int m_listener;
  std::vector<Pair> m_pairs;
};

struct Fixture {
  EventLoop loop;
  Relay relay;

  template <class Condition>
  bool RunUntil(Condition condition) {
    for (int iteration = 0; iteration < kMaxIterations && !condition(); ++iteration) {
      relay.Transfer();
      loop.RunOnce(Millis{5});
    }
    return condition();
  }
  void RunFor(Millis time) {
    const TimePoint end = loop.Now() + time;
    RunUntil([&] { return loop.Now() >= end; });
  }
};

bool HasEvent(const std::string& text) {
  return RecordedEvents(0, 20'000).find(text) != std::string::npos;
}

}  // namespace

// Guards against lost or reordered messages, and against messages to this instance that call the
// listener from inside Send.
BOOST_FIXTURE_TEST_CASE(MessagesArriveInOrderBothWays, Fixture) {
  Node a(loop, "a", {});
  Node b(loop, "b", {a.address});
  BOOST_TEST(!a.Send("b", 0));
  BOOST_REQUIRE(RunUntil([&] { return a.HasLink("b") && b.HasLink("a"); }));
  for (std::uint64_t i = 0; i < 500; ++i) {
    BOOST_TEST(a.Send("b", i));
    BOOST_TEST(b.Send("a", i));
  }
  BOOST_TEST(a.Send("a", 500));
  BOOST_TEST(a.recorder.messages.empty());
  BOOST_REQUIRE(RunUntil(
      [&] { return a.recorder.messages.size() == 501 && b.recorder.messages.size() == 500; }));
  std::uint64_t next = 0;
  for (const auto& [from, number] : b.recorder.messages) BOOST_TEST(number == next++);
  next = 0;
  for (const auto& [from, number] : a.recorder.messages)
    if (from.Text() == "b") BOOST_TEST(number == next++);
  BOOST_TEST(next == 500U);
  BOOST_TEST(a.recorder.statuses > 0);
}

// Guards against a fleet that stays split although its members share a seed, and against a planned
// stop that is not announced to the other members.
BOOST_FIXTURE_TEST_CASE(ThreeFindEachOtherAndOneLeaves, Fixture) {
  Node b(loop, "b", {});
  Node a(loop, "a", {b.address});
  Node c(loop, "c", {b.address});
  BOOST_REQUIRE(RunUntil(
      [&] { return a.HasLink("c") && c.HasLink("a") && b.HasLink("a") && b.HasLink("c"); }));
  BOOST_TEST(a.network->Members().size() == 3U);
  BOOST_TEST(a.recorder.member_changes > 0);
  c.network->Leave();
  const auto is_leaving = [](const Node& node) {
    for (const Member& member : node.network->Members())
      if (member.info.id.Text() == "c") return member.info.is_leaving;
    return false;
  };
  BOOST_REQUIRE(RunUntil([&] { return is_leaving(a) && is_leaving(b); }));
  BOOST_TEST(a.HasLink("c"));
  c.network->Close();
  BOOST_REQUIRE(RunUntil([&] { return a.StateOf("c") == MemberState::kLeft && !a.HasLink("c"); }));
}

// Guards against a peer that is accepted without the key.
BOOST_FIXTURE_TEST_CASE(WrongKeyIsRejected, Fixture) {
  Node a(loop, "a", {});
  Node b(loop, "b", {a.address}, {"another key"});
  BOOST_REQUIRE(RunUntil([&] { return HasEvent("authentication failed"); }));
  RunFor(Millis{500});
  BOOST_TEST(!a.Send("b", 1));
  BOOST_TEST(!b.Send("a", 1));
  BOOST_TEST(a.recorder.incarnations_up.empty());
  BOOST_TEST(b.recorder.incarnations_up.empty());
  BOOST_TEST(a.recorder.messages.empty());
  BOOST_TEST(a.network->Members().size() == 1U);
}

// Guards against links that fail during a key rotation, while instances sign with different keys.
BOOST_FIXTURE_TEST_CASE(SecondKeyIsAcceptedForRotation, Fixture) {
  Node a(loop, "a", {}, {"old", "new"});
  Node b(loop, "b", {a.address}, {"new", "old"});
  BOOST_REQUIRE(RunUntil([&] { return a.HasLink("b") && b.HasLink("a"); }));
  BOOST_TEST(a.Send("b", 1));
  BOOST_REQUIRE(RunUntil([&] { return !b.recorder.messages.empty(); }));
}

// Guards against a reflection attack, in which a proof is sent back to its signer and accepted.
BOOST_FIXTURE_TEST_CASE(ReflectionIsRejected, Fixture) {
  BOOST_TEST(SignHandshake("k", LinkSide::kInitiator, "x", "y") !=
             SignHandshake("k", LinkSide::kAcceptor, "x", "y"));
  BOOST_TEST(SignHandshake("k", LinkSide::kInitiator, "xy", "") !=
             SignHandshake("k", LinkSide::kInitiator, "x", "y"));
  Node a(loop, "a", {relay.address});
  BOOST_REQUIRE(RunUntil([&] { return HasEvent("peer has the id of this instance"); }));
  BOOST_TEST(a.recorder.incarnations_up.empty());
}

// Guards against unauthenticated clients that hold a connection open, send frames before the
// handshake, or announce a frame that is too large.
BOOST_FIXTURE_TEST_CASE(UnauthenticatedConnectionsAreClosed, Fixture) {
  Node a(loop, "a", {});
  const std::string message =
      std::get<std::string>(EncodeFrame({1, PeerMessage(QueryMessage{1, std::string(10, 'x')})}));
  std::string prefix(4, '\0');
  prefix[0] = static_cast<char>(message.size());
  for (const std::string& bytes : {std::string(), prefix + message, std::string(5, '\xff')}) {
    const int fd = ConnectTo(a.address);
    BOOST_TEST(send(fd, bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
    char byte = 0;
    BOOST_TEST(RunUntil([&] { return recv(fd, &byte, 1, 0) == 0 || errno == ECONNRESET; }));
    close(fd);
  }
  BOOST_TEST(HasEvent("frame before the end of the handshake"));
  BOOST_TEST(a.recorder.messages.empty());
}

// Guards against a link that stays open on a dead connection although a new one would work.
BOOST_FIXTURE_TEST_CASE(SilentLinkIsClosedAndReopened, Fixture) {
  Node b(loop, "b", {}, kKeys, relay.address);
  relay.target = b.address;
  Node a(loop, "a", {relay.address});
  BOOST_REQUIRE(RunUntil([&] { return a.HasLink("b") && b.HasLink("a"); }));
  relay.Stall();
  const TimePoint stalled = loop.Now();
  BOOST_REQUIRE(RunUntil([&] { return a.recorder.links_down == 1 && b.recorder.links_down == 1; }));
  BOOST_TEST((loop.Now() - stalled <= Millis{3000}));
  BOOST_REQUIRE(RunUntil([&] { return a.HasLink("b") && b.HasLink("a"); }));
  BOOST_TEST(relay.accepted >= 2);
  RunFor(Millis{1000});
  BOOST_TEST((a.StateOf("b") == MemberState::kAlive));
}

// Guards against a fleet larger than a full mesh that does not converge, that still links all
// members, or in which members without a permanent link cannot reach each other.
BOOST_FIXTURE_TEST_CASE(LargeFleetLinksOnDemand, Fixture) {
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 0; i < 30; ++i) {
    std::vector<Address> seeds;
    if (i > 0) seeds.push_back(nodes.front()->address);
    nodes.push_back(std::make_unique<Node>(loop, "n" + std::to_string(i), std::move(seeds)));
  }
  BOOST_REQUIRE(RunUntil([&] {
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
      return node->network->Members().size() == nodes.size();
    });
  }));
  Node& from = *nodes.at(1);
  std::string to;
  for (std::size_t i = 2; i < nodes.size() && to.empty(); ++i)
    if (!from.HasLink("n" + std::to_string(i))) to = "n" + std::to_string(i);
  BOOST_REQUIRE(!to.empty());
  BOOST_TEST(!from.Send(to, 1));
  BOOST_REQUIRE(RunUntil([&] { return from.HasLink(to); }));
  BOOST_TEST(from.Send(to, 2));
}

// Guards against two exchanges of heartbeats in each period, which double the traffic of an idle
// link. The bound grows with the measured time, so a slow machine does not break it.
BOOST_FIXTURE_TEST_CASE(OneExchangeOfHeartbeatsPerPeriod, Fixture) {
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 0; i < 6; ++i) {
    const Address seed = nodes.empty() ? Address{"127.0.0.1", 1} : nodes.front()->address;
    nodes.push_back(std::make_unique<Node>(loop, "n" + std::to_string(i), std::vector{seed}));
  }
  const auto count = [&](auto of_node) {
    std::uint64_t sum = 0;
    for (const auto& node : nodes) sum += of_node(*node->network);
    return sum;
  };
  const auto sent = [](const Network& network) {
    return network.Traffic().sent.at(static_cast<std::size_t>(TrafficKind::kHeartbeat)).frames;
  };
  const auto links = [](const Network& network) { return network.LinkCount(); };
  BOOST_REQUIRE(RunUntil([&] { return count(links) == 30; }));
  RunFor(Millis{1'000});
  const std::uint64_t before = count(sent);
  const TimePoint start = loop.Now();
  RunFor(Millis{3'000});
  const auto periods = static_cast<std::uint64_t>((loop.Now() - start) / kHeartbeatPeriod) + 1;
  const auto probes = static_cast<std::uint64_t>((loop.Now() - start) / kProbePeriod) + 1;
  // An exchange is one frame from each side. The probes of each node add one exchange a second.
  BOOST_TEST(count(sent) - before <= 30 * periods + 2 * nodes.size() * probes);
  BOOST_TEST(count(sent) - before > 30);
}

// Guards against links that were opened for a probe and are kept for the whole idle timeout, which
// would link each instance of a large fleet with tens of others.
BOOST_FIXTURE_TEST_CASE(LinksForProbesAreClosedSoon, Fixture) {
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 0; i < 30; ++i) {
    const Address seed = nodes.empty() ? Address{"127.0.0.1", 1} : nodes.front()->address;
    nodes.push_back(std::make_unique<Node>(loop, "n" + std::to_string(i), std::vector{seed}));
  }
  RunFor(Millis{18'000});
  std::size_t links = 0;
  for (const auto& node : nodes) links += node->network->LinkCount();
  // A full mesh has 29 links for each node. Otherwise there are at most 16 permanent ones and a few
  // for probes.
  BOOST_TEST(links / nodes.size() <= 22U);
  for (const auto& node : nodes) BOOST_TEST(node->network->Members().size() == nodes.size());
}

// Guards against unbounded send buffers for a peer that does not read.
BOOST_FIXTURE_TEST_CASE(FullSendBufferClosesTheLink, Fixture) {
  Node a(loop, "a", {});
  Node b(loop, "b", {a.address});
  BOOST_REQUIRE(RunUntil([&] { return a.HasLink("b") && b.HasLink("a"); }));
  const QueryMessage large{1, std::string(kMaxFrameBytes / 2, 'x')};
  int sent = 0;
  // The loop does not run in between, so b reads nothing.
  while (sent < 100 && a.network->Send(InstanceId("b"), large)) ++sent;
  BOOST_TEST(sent < 20);
  BOOST_REQUIRE(RunUntil([&] { return a.recorder.links_down == 1; }));
  BOOST_REQUIRE(RunUntil([&] { return a.HasLink("b") && b.HasLink("a"); }));
}

// Guards against a restarted process that is mistaken for its former incarnation.
BOOST_FIXTURE_TEST_CASE(RestartIsNoticed, Fixture) {
  Node a(loop, "a", {});
  auto b = std::make_unique<Node>(loop, "b", std::vector<Address>{a.address});
  BOOST_REQUIRE(RunUntil([&] { return a.HasLink("b") && b->HasLink("a"); }));
  const Address address = b->address;
  b.reset();
  BOOST_REQUIRE(RunUntil([&] { return a.recorder.links_down == 1; }));
  Node restarted(loop, "b", {a.address}, kKeys, {}, address, 2);
  BOOST_REQUIRE(RunUntil([&] { return a.HasLink("b"); }));
  BOOST_TEST(a.recorder.incarnations_up.back().Value() == 2U);
  BOOST_TEST(a.network->Members().back().info.incarnation.Value() == 2U);
}

}  // namespace bluebellpass
