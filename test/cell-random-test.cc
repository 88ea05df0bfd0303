#include <boost/test/unit_test.hpp>
#include <random>

#include "policy/cell.h"

namespace bluebellpass {
namespace {

constexpr int kStepCount = 20000;
constexpr std::uint32_t kTierCount = 3;
constexpr int kHomeCount = 3;
/// Contents up to this one crash every server that runs them.
constexpr Fingerprint kLastCrashingContent{3};
const CellId kCell{.pool = PoolName("p"), .region = Region("r")};

/// Drives a cell with random inputs and checks its invariants against an independent model.
class Harness {
 public:
  explicit Harness(std::uint32_t seed) : m_random(seed) {
    for (std::uint32_t rank = 0; rank < kTierCount; ++rank) {
      m_config.tiers.push_back({.name = TierNameOf(rank),
                                .rank = TierRank(rank),
                                .share = rank == 0 ? 0 : 0.1,
                                .max_waiting_bytes = 2000});
    }
    for (int i = 0; i < 5; ++i) {
      m_config.organisations.push_back(
          {.id = OrganisationId(std::to_string(i)), .weight = 1.0 + i, .max_waiting_bytes = 400});
    }
    for (int i = 0; i < 4; ++i) {
      m_config.backends.push_back({.id = BackendId("b" + std::to_string(i)),
                                   .kind = "engine",
                                   .pool = kCell.pool,
                                   .region = kCell.region,
                                   .slots = 2 + i,
                                   .token_capacity = 1000LL * (1 + i)});
    }
    m_cell.OnConfig(m_config, m_now);
    UpdateMembers();
  }

  void Step() {
    m_now += Millis{RandomBelow(20)};
    const int kind = RandomBelow(100);
    if (kind < 50) {
      SendReserve();
    } else if (kind < 54) {
      SendCancel();
    } else if (kind < 75) {
      SendRelease();
    } else if (kind < 90) {
      SendFloorAck();
    } else if (kind < 94) {
      m_cell.Tick(m_now);
    } else if (kind < 96) {
      SendSync();
    } else if (kind < 97) {
      DisconnectHome();
    } else if (kind < 98) {
      m_is_dead[RandomBelow(kHomeCount)] ^= true;
      UpdateMembers();
    } else {
      ToggleBackend();
    }
    HandleActions();
    CheckCapacity();
    CheckByteSums();
  }

  int grants = 0;
  std::map<ErrorKind, int> refusals;
  int upper_tiers_shed = 0;

 private:
  struct Waiting {
    InstanceId home;
    Reservation reservation;
  };
  struct Run {
    InstanceId home;
    GrantMessage grant;
    Reservation reservation;
  };

  static TierName TierNameOf(std::uint32_t rank) { return TierName("t" + std::to_string(rank)); }
  static std::uint32_t RankOf(const TierName& tier) {
    return static_cast<std::uint32_t>(tier.Text()[1] - '0');
  }
  int RandomBelow(int limit) { return static_cast<int>(m_random() % static_cast<unsigned>(limit)); }
  InstanceId RandomHome() { return InstanceId("h" + std::to_string(RandomBelow(kHomeCount))); }
  template <class Map>
  typename Map::iterator RandomElement(Map& map) {
    return std::next(map.begin(), RandomBelow(static_cast<int>(map.size())));
  }

  Reservation NewReservation() {
    const int id = ++m_last_id;
    return {.id = RequestId(std::to_string(id)),
            .pool = kCell.pool,
            .region = kCell.region,
            .tier = TierNameOf(static_cast<std::uint32_t>(RandomBelow(kTierCount))),
            .organisation = OrganisationId(std::to_string(RandomBelow(6))),
            .prompt_tokens = Tokens(1 + RandomBelow(RandomBelow(20) == 0 ? 6000 : 400)),
            .max_output_tokens = Tokens(RandomBelow(100)),
            .prefix = Fingerprint(static_cast<std::uint64_t>(RandomBelow(20))),
            .content = Fingerprint(
                static_cast<std::uint64_t>(RandomBelow(30) == 0 ? 1 + RandomBelow(3) : 10 + id)),
            .bytes = 1 + RandomBelow(150),
            .remaining = Millis{RandomBelow(20000)}};
  }

  void SendReserve() {
    if (!m_waiting.empty() && RandomBelow(20) == 0) {  // a duplicate
      const Waiting waiting = RandomElement(m_waiting)->second;
      m_cell.OnReserve(waiting.home, waiting.reservation, m_now);
      return;
    }
    const Waiting waiting{.home = RandomHome(), .reservation = NewReservation()};
    m_waiting.emplace(waiting.reservation.id, waiting);
    m_cell.OnReserve(waiting.home, waiting.reservation, m_now);
  }

  void SendCancel() {
    if (m_waiting.empty()) return;
    const auto it = RandomElement(m_waiting);
    m_cell.OnCancel(it->second.home, it->first, m_now);
    m_waiting.erase(it);
  }

  void SendRelease() {
    if (m_runs.empty()) return;
    const auto it = RandomElement(m_runs);
    const Run run = it->second;
    m_runs.erase(it);
    ReleaseReason reason = ReleaseReason::kCompleted;
    if (RandomBelow(4) == 0) reason = static_cast<ReleaseReason>(RandomBelow(6));
    if (run.reservation.content <= kLastCrashingContent) reason = ReleaseReason::kBackendLost;
    m_cell.OnRelease(run.home,
                     {.cell = kCell,
                      .id = run.grant.id,
                      .grant = run.grant.grant,
                      .backend = run.grant.backend,
                      .reason = reason,
                      .prompt_tokens = run.reservation.prompt_tokens,
                      .output_tokens = run.reservation.max_output_tokens,
                      .time_to_first_token = Millis{RandomBelow(200)},
                      .total_time = Millis{200 + RandomBelow(1000)},
                      .content = run.reservation.content},
                     m_now);
  }

  void SendFloorAck() {
    const InstanceId from = RandomHome();
    // Occasionally a late acknowledgement of an earlier round arrives.
    const std::uint64_t round = m_floor_ask.round - (RandomBelow(10) == 0 ? 1 : 0);
    if (round == m_floor_ask.round) m_acknowledged.insert(from);
    m_cell.OnFloorAck(from, {.round = round, .pool = kCell.pool, .rank = m_floor_ask.rank}, m_now);
  }

  void ForgetHome(const InstanceId& home) {
    std::erase_if(m_waiting, [&](const auto& row) { return row.second.home == home; });
    std::erase_if(m_runs, [&](const auto& row) { return row.second.home == home; });
  }

  void SendSync() {
    const InstanceId home = RandomHome();
    SyncMessage sync{.cell = kCell};
    for (const auto& [id, waiting] : m_waiting) {
      if (waiting.home == home && RandomBelow(10) != 0) sync.waiting.push_back(waiting.reservation);
    }
    for (const auto& [id, run] : m_runs) {
      if (run.home != home) continue;
      sync.running.push_back(
          {.id = run.grant.id,
           .grant = run.grant.grant,
           .backend = run.grant.backend,
           .tokens = run.reservation.prompt_tokens + run.reservation.max_output_tokens,
           .content = run.reservation.content});
    }
    std::erase_if(m_waiting, [&](const auto& row) { return row.second.home == home; });
    for (const Reservation& reservation : sync.waiting) {
      m_waiting.emplace(reservation.id, Waiting{home, reservation});
    }
    m_cell.OnSync(home, sync, m_now);
  }

  void DisconnectHome() {
    const InstanceId home = RandomHome();
    ForgetHome(home);
    m_acknowledged.erase(home);
    m_cell.OnHomeDisconnected(home, m_now);
  }

  void UpdateMembers() {
    std::vector<Member> members;
    for (int i = 0; i < kHomeCount; ++i) {
      const InstanceId id("h" + std::to_string(i));
      const bool is_dead = m_is_dead[i];
      if (is_dead) m_acknowledged.erase(id);
      members.push_back(
          {.info = {.id = id}, .state = is_dead ? MemberState::kDead : MemberState::kSuspect});
    }
    m_cell.OnMembersChanged(members, m_now);
  }

  void ToggleBackend() {
    BackendState& state = m_config.backends[static_cast<std::size_t>(RandomBelow(4))].state;
    state = state == BackendState::kActive ? BackendState::kLeaving : BackendState::kActive;
    m_cell.OnConfig(m_config, m_now);
  }

  void HandleActions() {
    for (const CellAction& action : m_cell.TakeActions()) {
      if (const auto* grant = std::get_if<GrantAction>(&action)) OnGrant(*grant);
      if (const auto* refuse = std::get_if<RefuseAction>(&action)) OnRefuse(*refuse);
      if (const auto* ask = std::get_if<AskFloorAction>(&action)) OnFloorAsk(*ask);
    }
  }

  void OnGrant(const GrantAction& action) {
    const auto it = m_waiting.find(action.message.id);
    BOOST_REQUIRE(it != m_waiting.end());
    BOOST_REQUIRE(it->second.home == action.home);
    m_runs.emplace(action.message.id, Run{action.home, action.message, action.reservation});
    m_waiting.erase(it);
    ++grants;
  }

  void OnRefuse(const RefuseAction& action) {
    BOOST_REQUIRE(m_waiting.erase(action.message.id) == 1);
    const ErrorKind kind = action.message.kind;
    ++refusals[kind];
    if (kind != ErrorKind::kOverloaded && kind != ErrorKind::kOrganisationLimit) return;
    const std::uint32_t rank = RankOf(action.tier);
    if (rank == kTierCount - 1) return;
    ++upper_tiers_shed;
    BOOST_REQUIRE(m_floor_ask.rank.Value() <= rank);
    BOOST_REQUIRE((m_now - m_asked_at < Millis{1500}));
    for (int i = 0; i < kHomeCount; ++i) {
      const bool must_ack = !m_is_dead[i];
      if (must_ack) BOOST_REQUIRE(m_acknowledged.contains(InstanceId("h" + std::to_string(i))));
    }
    for (std::uint32_t below = rank + 1; below < kTierCount; ++below) {
      BOOST_REQUIRE(m_cell.Queue().Size(TierRank(below)) == 0U);
    }
  }

  void OnFloorAsk(const AskFloorAction& action) {
    BOOST_REQUIRE(action.message.round >= m_floor_ask.round);
    if (action.message.round == m_floor_ask.round) return;
    m_floor_ask = action.message;
    m_asked_at = m_now;
    m_acknowledged.clear();
  }

  void CheckCapacity() {
    std::size_t runs = 0;
    for (const BackendStats& row : m_cell.Load().Stats()) {
      runs += static_cast<std::size_t>(row.slots_used);
      BOOST_REQUIRE(row.slots_used >= 0);
      BOOST_REQUIRE(row.slots_used <= row.slots);
      const bool is_within_capacity = row.tokens_used <= row.token_capacity || row.slots_used == 1;
      BOOST_REQUIRE(is_within_capacity);
    }
    BOOST_REQUIRE(runs == m_runs.size());
  }

  void CheckByteSums() {
    std::map<std::pair<std::uint32_t, OrganisationId>, std::int64_t> sums;
    for (const auto& [id, waiting] : m_waiting) {
      const Reservation& reservation = waiting.reservation;
      sums[{RankOf(reservation.tier), reservation.organisation}] += reservation.bytes;
    }
    std::map<std::uint32_t, std::int64_t> tiers;
    for (const auto& [key, bytes] : sums) {
      tiers[key.first] += bytes;
      BOOST_REQUIRE(m_cell.Queue().Bytes(TierRank(key.first), key.second) == bytes);
    }
    for (std::uint32_t rank = 0; rank < kTierCount; ++rank) {
      BOOST_REQUIRE(m_cell.Queue().Bytes(TierRank(rank)) == tiers[rank]);
    }
    BOOST_REQUIRE(m_cell.Queue().Size() == m_waiting.size());
  }

  std::mt19937 m_random;
  TimePoint m_now{Millis{1000000}};
  std::uint64_t m_stamp = 0;
  Suspects m_suspects{[this] { return ++m_stamp; }};
  Cell m_cell{kCell, QueuePolicy::kWeightedFair, 1, m_suspects};
  ClusterConfig m_config;
  std::map<RequestId, Waiting> m_waiting;
  std::map<RequestId, Run> m_runs;
  FloorAskMessage m_floor_ask;
  TimePoint m_asked_at;
  std::set<InstanceId> m_acknowledged;
  std::map<int, bool> m_is_dead;
  int m_last_id = 0;
};

// No combination of inputs may exceed a server's capacity, shed a tier before the tiers below it or
// without all promises, make byte sums inconsistent, or grant or refuse a request twice.
BOOST_AUTO_TEST_CASE(RandomInputsKeepInvariants) {
  for (std::uint32_t seed : {1U, 2U, 3U}) {
    Harness harness(seed);
    for (int i = 0; i < kStepCount; ++i) harness.Step();
    // Checks that the run has reached the rare cases.
    BOOST_TEST(harness.grants > kStepCount / 20);
    BOOST_TEST(harness.upper_tiers_shed > 10);
    BOOST_TEST(harness.refusals[ErrorKind::kOrganisationLimit] > 10);
    BOOST_TEST(harness.refusals[ErrorKind::kQuarantined] > 10);
    BOOST_TEST_MESSAGE("seed " << seed << ": grants " << harness.grants << ", high tiers shed "
                               << harness.upper_tiers_shed);
  }
}

}  // namespace
}  // namespace bluebellpass
