#include "owner/owner-task.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace bluebellpass {
namespace {

const InstanceId kSelf{"self"};
const InstanceId kPeer{"peer"};
const CellId kCell{.pool = PoolName("p"), .region = Region("r")};

/// Timer service whose time the test advances.
class ManualTimers : public TimerService {
 public:
  TimePoint Now() const override { return now; }
  TimerId RunAfter(Millis /*delay*/, std::function<void()> function) override {
    callback = std::move(function);
    return ++m_last;
  }
  void Cancel(TimerId /*id*/) override {}
  void Advance(Millis duration) {
    now += duration;
    const auto function = std::exchange(callback, {});
    if (function) function();
  }

  TimePoint now{Millis{1000000}};
  std::function<void()> callback;

 private:
  TimerId m_last = 0;
};

class RecordingNetwork : public PeerNetwork {
 public:
  RecordingNetwork() {
    self.id = kSelf;
    members = {{.info = {.id = kSelf, .region = kCell.region}}, {.info = {.id = kPeer}}};
  }
  const InstanceInfo& Self() const override { return self; }
  bool Send(const InstanceId& to, const PeerMessage& message) override {
    if (!is_linked && to != kSelf) return false;
    sent.emplace_back(to, message);
    return true;
  }
  std::vector<Member> Members() const override { return members; }
  bool IsLinked(const InstanceId& peer) const override { return is_linked || peer == kSelf; }
  void SetStatus(const PeerStatus& /*status*/) override {}
  void Leave() override {}
  void AddListener(PeerListener* /*listener*/) override {}

  template <class Message>
  int Count(const InstanceId& to) const {
    return static_cast<int>(std::count_if(sent.begin(), sent.end(), [&](const auto& row) {
      return row.first == to && std::holds_alternative<Message>(row.second);
    }));
  }

  InstanceInfo self;
  std::vector<Member> members;
  bool is_linked = true;
  std::vector<std::pair<InstanceId, PeerMessage>> sent;
};

struct Fixture {
  ManualTimers timers;
  RecordingNetwork network;
  std::unique_ptr<Ownership> ownership = MakeOwnership(OwnershipKind::kSingleOwner, kSelf);
  OwnerTask owner{network, timers, *ownership};

  void Configure() {
    VersionedConfig config;
    config.config.tiers = {{.name = TierName("t")}};
    config.config.backends = {{.id = BackendId("b"),
                               .kind = "engine",
                               .pool = kCell.pool,
                               .region = kCell.region,
                               .slots = 1}};
    owner.OnConfigApplied(config);
  }
  void Reserve(const InstanceId& home, const std::string& id) {
    owner.OnPeerMessage(home, ReserveMessage{{.id = RequestId(id),
                                              .pool = kCell.pool,
                                              .region = kCell.region,
                                              .tier = TierName("t"),
                                              .prompt_tokens = Tokens(10),
                                              .content = Fingerprint(7),
                                              .bytes = 10,
                                              .remaining = Millis{5000}}});
  }
};

}  // namespace

// Reservations received before the first configuration must not be lost, and a deadline must expire
// without a further message.
BOOST_FIXTURE_TEST_CASE(GrantsDeferredReservationsAndExpiresWaitingOnes, Fixture) {
  Reserve(kPeer, "early");
  BOOST_TEST(network.sent.empty());
  Configure();
  BOOST_TEST(network.Count<GrantMessage>(kPeer) == 1);
  Reserve(kPeer, "waits");
  BOOST_TEST(owner.WaitingRequests().size() == 1);
  BOOST_TEST(owner.CellBackends().at(0).backend.slots_used == 1);
  BOOST_TEST(owner.Counters().granted_tokens.at(TierName("t")) == 10);
  timers.Advance(Millis{5000});
  BOOST_TEST(network.Count<RefuseMessage>(kPeer) == 1);
}

// The runs of an unreachable home must not keep capacity occupied.
BOOST_FIXTURE_TEST_CASE(FailedSendRemovesHome, Fixture) {
  Configure();
  network.is_linked = false;
  Reserve(kPeer, "lost");
  BOOST_TEST(owner.CellBackends().at(0).backend.slots_used == 0);
  Reserve(kSelf, "own");
  BOOST_TEST(network.Count<GrantMessage>(kSelf) == 1);
  owner.OnLinkDown(kSelf);
  BOOST_TEST(owner.CellBackends().at(0).backend.slots_used == 0);
}

// An instance that loses a cell must drop its state without refusing requests, and must tell the
// homes, which would otherwise wait for an owner that no longer knows their reservations.
BOOST_FIXTURE_TEST_CASE(YieldsWithoutRefusals, Fixture) {
  Configure();
  Reserve(kPeer, "x");
  Reserve(kPeer, "y");
  const std::size_t sent = network.sent.size();
  network.members.front().info.is_leaving = true;
  owner.OnMembersChanged();
  BOOST_TEST(owner.WaitingRequests().empty());
  BOOST_TEST(owner.CellBackends().empty());
  BOOST_TEST(network.sent.size() == sent + 1);
  BOOST_TEST(network.Count<ResyncMessage>(kPeer) == 1);
}

// Only servers of owned cells may be listed, with their correct run counts. A pause must take
// effect and end with the ownership.
BOOST_FIXTURE_TEST_CASE(ControlsServersOfOwnedCells, Fixture) {
  Configure();
  BOOST_TEST(owner.OwnedBackends().at(0).running == 0);
  owner.SetGrantsPaused(BackendId("b"), true);
  Reserve(kSelf, "x");
  BOOST_TEST(network.Count<GrantMessage>(kSelf) == 0);
  owner.SetGrantsPaused(BackendId("b"), false);
  BOOST_TEST(network.Count<GrantMessage>(kSelf) == 1);
  BOOST_TEST(owner.OwnedBackends().at(0).running == 1);
  owner.SetGrantsPaused(BackendId("b"), true);
  const TimePoint since = owner.OwnedBackends().at(0).owned_since;
  network.members.front().info.is_leaving = true;
  owner.OnMembersChanged();
  BOOST_TEST(owner.OwnedBackends().empty());
  network.members.front().info.is_leaving = false;
  timers.Advance(Millis{100});
  owner.OnMembersChanged();
  BOOST_TEST((owner.OwnedBackends().at(0).owned_since > since));
  Reserve(kSelf, "y");
  BOOST_TEST(network.Count<GrantMessage>(kSelf) == 2);
}

// Other instances must learn of every death and release, also those linked later.
BOOST_FIXTURE_TEST_CASE(SendsQuarantineToOtherInstances, Fixture) {
  Configure();
  const ReleaseMessage death{.cell = kCell,
                             .id = RequestId("x"),
                             .backend = BackendId("b"),
                             .reason = ReleaseReason::kBackendLost,
                             .content = Fingerprint(7)};
  owner.OnPeerMessage(kPeer, death);
  owner.OnPeerMessage(kPeer, death);
  BOOST_TEST(owner.IsQuarantined(Fingerprint(7)));
  BOOST_TEST(network.Count<QuarantineMessage>(kPeer) == 2);
  Reserve(kPeer, "again");
  BOOST_TEST(network.Count<RefuseMessage>(kPeer) == 1);
  BOOST_TEST(owner.ReleaseContent(Fingerprint(7)));
  BOOST_TEST(!owner.IsQuarantined(Fingerprint(7)));
  BOOST_TEST(network.Count<QuarantineMessage>(kPeer) == 3);
  owner.OnLinkUp(kPeer, Incarnation(2));
  BOOST_TEST(network.Count<QuarantineMessage>(kPeer) == 4);
}

}  // namespace bluebellpass
