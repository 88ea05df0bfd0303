#include <boost/test/unit_test.hpp>
#include <random>

#include "policy/cell.h"

namespace bluebellpass {
namespace {

constexpr int kSteps = 20000;
constexpr std::uint32_t kTiers = 3;
constexpr int kHomes = 3;
/// Contents up to this one kill each server that runs them.
constexpr Fingerprint kLastKiller{3};
const CellId kCell{.pool = PoolName("p"), .region = Region("r")};

/// Drives a cell with random inputs and keeps its own books of what must hold.
class Harness {
 public:
  explicit Harness(std::uint32_t seed) : m_random(seed) {
    for (std::uint32_t rank = 0; rank < kTiers; ++rank) {
      m_config.tiers.push_back({.name = Name(rank),
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
    SetMembers();
  }

  void Step() {
    m_now += Millis{Random(20)};
    const int kind = Random(100);
    if (kind < 50) {
      Reserve();
    } else if (kind < 54) {
      Cancel();
    } else if (kind < 75) {
      Release();
    } else if (kind < 90) {
      Ack();
    } else if (kind < 94) {
      m_cell.Tick(m_now);
    } else if (kind < 96) {
      Sync();
    } else if (kind < 97) {
      HomeGone();
    } else if (kind < 98) {
      m_is_absent[Random(kHomes)] ^= true;
      SetMembers();
    } else {
      ToggleBackend();
    }
    HandleActions();
    CheckRoom();
    CheckSums();
  }

  int grants = 0;
  std::map<ErrorKind, int> refusals;
  int high_tiers_shed = 0;

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

  static TierName Name(std::uint32_t rank) { return TierName("t" + std::to_string(rank)); }
  static std::uint32_t Rank(const TierName& tier) {
    return static_cast<std::uint32_t>(tier.Text()[1] - '0');
  }
  int Random(int limit) { return static_cast<int>(m_random() % static_cast<unsigned>(limit)); }
  InstanceId Home() { return InstanceId("h" + std::to_string(Random(kHomes))); }
  template <class Map>
  typename Map::iterator Any(Map& map) {
    return std::next(map.begin(), Random(static_cast<int>(map.size())));
  }

  Reservation NewReservation() {
    const int id = ++m_last_id;
    return {.id = RequestId(std::to_string(id)),
            .pool = kCell.pool,
            .region = kCell.region,
            .tier = Name(static_cast<std::uint32_t>(Random(kTiers))),
            .organisation = OrganisationId(std::to_string(Random(6))),
            .prompt_tokens = Tokens(1 + Random(Random(20) == 0 ? 6000 : 400)),
            .max_output_tokens = Tokens(Random(100)),
            .prefix = Fingerprint(static_cast<std::uint64_t>(Random(20))),
            .content =
                Fingerprint(static_cast<std::uint64_t>(Random(30) == 0 ? 1 + Random(3) : 10 + id)),
            .bytes = 1 + Random(150),
            .remaining = Millis{Random(20000)}};
  }

  void Reserve() {
    if (!m_waiting.empty() && Random(20) == 0) {  // a duplicate
      const Waiting waiting = Any(m_waiting)->second;
      m_cell.OnReserve(waiting.home, waiting.reservation, m_now);
      return;
    }
    const Waiting waiting{.home = Home(), .reservation = NewReservation()};
    m_waiting.emplace(waiting.reservation.id, waiting);
    m_cell.OnReserve(waiting.home, waiting.reservation, m_now);
  }

  void Cancel() {
    if (m_waiting.empty()) return;
    const auto place = Any(m_waiting);
    m_cell.OnCancel(place->second.home, place->first, m_now);
    m_waiting.erase(place);
  }

  void Release() {
    if (m_runs.empty()) return;
    const auto place = Any(m_runs);
    const Run run = place->second;
    m_runs.erase(place);
    ReleaseReason reason = ReleaseReason::kCompleted;
    if (Random(4) == 0) reason = static_cast<ReleaseReason>(Random(6));
    if (run.reservation.content <= kLastKiller) reason = ReleaseReason::kBackendLost;
    m_cell.OnRelease(run.home,
                     {.cell = kCell,
                      .id = run.grant.id,
                      .grant = run.grant.grant,
                      .backend = run.grant.backend,
                      .reason = reason,
                      .prompt_tokens = run.reservation.prompt_tokens,
                      .output_tokens = run.reservation.max_output_tokens,
                      .first_token = Millis{Random(200)},
                      .total = Millis{200 + Random(1000)},
                      .content = run.reservation.content},
                     m_now);
  }

  void Ack() {
    const InstanceId from = Home();
    // Now and then the acknowledgement of an earlier round arrives late.
    const std::uint64_t round = m_ask.round - (Random(10) == 0 ? 1 : 0);
    if (round == m_ask.round) m_acknowledged.insert(from);
    m_cell.OnFloorAck(from, {.round = round, .pool = kCell.pool, .rank = m_ask.rank}, m_now);
  }

  void Forget(const InstanceId& home) {
    std::erase_if(m_waiting, [&](const auto& row) { return row.second.home == home; });
    std::erase_if(m_runs, [&](const auto& row) { return row.second.home == home; });
  }

  void Sync() {
    const InstanceId home = Home();
    SyncMessage sync{.cell = kCell};
    for (const auto& [id, waiting] : m_waiting) {
      if (waiting.home == home && Random(10) != 0) sync.waiting.push_back(waiting.reservation);
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

  void HomeGone() {
    const InstanceId home = Home();
    Forget(home);
    m_acknowledged.erase(home);
    m_cell.OnHomeDisconnected(home, m_now);
  }

  void SetMembers() {
    std::vector<Member> members;
    for (int i = 0; i < kHomes; ++i) {
      const InstanceId id("h" + std::to_string(i));
      const bool is_absent = m_is_absent[i];
      if (is_absent) m_acknowledged.erase(id);
      members.push_back(
          {.info = {.id = id}, .state = is_absent ? MemberState::kDead : MemberState::kSuspect});
    }
    m_cell.OnMembersChanged(members, m_now);
  }

  void ToggleBackend() {
    BackendState& state = m_config.backends[static_cast<std::size_t>(Random(4))].state;
    state = state == BackendState::kActive ? BackendState::kLeaving : BackendState::kActive;
    m_cell.OnConfig(m_config, m_now);
  }

  void HandleActions() {
    for (const CellAction& action : m_cell.TakeActions()) {
      if (const auto* grant = std::get_if<GrantAction>(&action)) OnGrant(*grant);
      if (const auto* refuse = std::get_if<RefuseAction>(&action)) OnRefuse(*refuse);
      if (const auto* ask = std::get_if<AskFloorAction>(&action)) OnAsk(*ask);
    }
  }

  void OnGrant(const GrantAction& action) {
    const auto place = m_waiting.find(action.message.id);
    BOOST_REQUIRE(place != m_waiting.end());
    BOOST_REQUIRE(place->second.home == action.home);
    m_runs.emplace(action.message.id, Run{action.home, action.message, action.reservation});
    m_waiting.erase(place);
    ++grants;
  }

  void OnRefuse(const RefuseAction& action) {
    BOOST_REQUIRE(m_waiting.erase(action.message.id) == 1);
    const ErrorKind kind = action.message.kind;
    ++refusals[kind];
    if (kind != ErrorKind::kOverloaded && kind != ErrorKind::kOrganisationLimit) return;
    const std::uint32_t rank = Rank(action.tier);
    if (rank == kTiers - 1) return;
    ++high_tiers_shed;
    BOOST_REQUIRE(m_ask.rank.Value() <= rank);
    BOOST_REQUIRE((m_now - m_asked_at < Millis{1500}));
    for (int i = 0; i < kHomes; ++i) {
      const bool must_ack = !m_is_absent[i];
      if (must_ack) BOOST_REQUIRE(m_acknowledged.contains(InstanceId("h" + std::to_string(i))));
    }
    for (std::uint32_t below = rank + 1; below < kTiers; ++below) {
      BOOST_REQUIRE(m_cell.Queue().Size(TierRank(below)) == 0U);
    }
  }

  void OnAsk(const AskFloorAction& action) {
    BOOST_REQUIRE(action.message.round >= m_ask.round);
    if (action.message.round == m_ask.round) return;
    m_ask = action.message;
    m_asked_at = m_now;
    m_acknowledged.clear();
  }

  void CheckRoom() {
    std::size_t runs = 0;
    for (const BackendStats& row : m_cell.Load().Stats()) {
      runs += static_cast<std::size_t>(row.slots_used);
      BOOST_REQUIRE(row.slots_used >= 0);
      BOOST_REQUIRE(row.slots_used <= row.slots);
      const bool has_room = row.tokens_used <= row.token_capacity || row.slots_used == 1;
      BOOST_REQUIRE(has_room);
    }
    BOOST_REQUIRE(runs == m_runs.size());
  }

  void CheckSums() {
    std::map<std::pair<std::uint32_t, OrganisationId>, std::int64_t> sums;
    for (const auto& [id, waiting] : m_waiting) {
      const Reservation& reservation = waiting.reservation;
      sums[{Rank(reservation.tier), reservation.organisation}] += reservation.bytes;
    }
    std::map<std::uint32_t, std::int64_t> tiers;
    for (const auto& [key, bytes] : sums) {
      tiers[key.first] += bytes;
      BOOST_REQUIRE(m_cell.Queue().Bytes(TierRank(key.first), key.second) == bytes);
    }
    for (std::uint32_t rank = 0; rank < kTiers; ++rank) {
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
  FloorAskMessage m_ask;
  TimePoint m_asked_at;
  std::set<InstanceId> m_acknowledged;
  std::map<int, bool> m_is_absent;
  int m_last_id = 0;
};

// Guards against combinations of inputs that break an invariant: room over capacity, a tier shed
// before the ones below it or without all promises, sums that drift, a second grant or refusal.
BOOST_AUTO_TEST_CASE(RandomInputsKeepInvariants) {
  for (std::uint32_t seed : {1U, 2U, 3U}) {
    Harness harness(seed);
    for (int i = 0; i < kSteps; ++i) harness.Step();
    // The run is of no use unless it reaches the rare cases.
    BOOST_TEST(harness.grants > kSteps / 20);
    BOOST_TEST(harness.high_tiers_shed > 10);
    BOOST_TEST(harness.refusals[ErrorKind::kOrganisationLimit] > 10);
    BOOST_TEST(harness.refusals[ErrorKind::kQuarantined] > 10);
    BOOST_TEST_MESSAGE("seed " << seed << ": grants " << harness.grants << ", high tiers shed "
                               << harness.high_tiers_shed);
  }
}

}  // namespace
}  // namespace bluebellpass
