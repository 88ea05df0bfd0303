#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <set>

#include "gateway/decisions/fleet-share.h"
#include "gateway/decisions/quota.h"

namespace bluebellpass::gateway {
namespace {

constexpr QuotaTolerance kTolerance{Millis{8'000}, 0.1, 2'500};
constexpr double kRate = 1'000;
constexpr std::int64_t kTickMs = 20;
constexpr std::int64_t kPlayMs = 60'000;
// A silent link is closed after this time, up to one tick of the fleet later.
constexpr std::int64_t kSilenceMs = 1'000;
constexpr std::int64_t kMaxTickDelayMs = 150;
constexpr std::int64_t kRemoveAfterMs = 20'000;
constexpr std::uint32_t kPlays = 400;

TimePoint At(std::int64_t ms) { return TimePoint(Millis{ms}); }

Organisation MakeOrganisation() {
  Organisation organisation;
  organisation.id = OrganisationId("o");
  organisation.rate_per_s = kRate;
  organisation.burst = kRate;
  return organisation;
}

double AllowedPerWindow() {
  return (kRate * 8 + kRate) * (1 + kTolerance.excess_ratio) + kTolerance.slack;
}

struct PlayOptions {
  std::uint32_t seed = 1;
  bool has_partitions = true;  ///< false: only the coordinator is lost
  double demand = 6;           ///< of the rate
  double max_cost = 60;
};

struct PlayResult {
  double max_in_window = 0;
  int asked_after_takeover = 0;
  int refused_after_takeover = 0;
};

/// Instances with limiters that elect coordinators as Fleet does: each follows the oldest running
/// instance that it reaches, and notices a cut after the silence timeout.
class Play {
 public:
  explicit Play(const PlayOptions& options) : m_options(options), m_random(options.seed) {
    m_instances.resize(3 + m_random() % 8);
    for (std::size_t i = 0; i < m_instances.size(); ++i) Start(i, 0);
  }

  PlayResult Run() {
    for (std::int64_t now = 0; now < kPlayMs; now += kTickMs) {
      // Faults begin when quotas are in steady use.
      if (now >= 15'000 && now >= m_next_fault) MakeFault(now);
      for (std::size_t i = 0; i < m_instances.size(); ++i) UpdateLinks(i, now);
      for (std::size_t i = 0; i < m_instances.size(); ++i) Elect(i, now);
      for (Instance& instance : m_instances) UpdateShare(instance);
      Ask(now);
    }
    return m_result;
  }

 private:
  struct Instance {
    std::int64_t registered = 0;
    std::int64_t started = 0;
    std::int64_t lost_at = -1;  ///< -1 while it runs
    int group = 0;
    int coordinator = -1;
    std::map<std::size_t, std::int64_t> followers;  ///< the time when each was last heard
    std::int64_t heard = 0;                         ///< from the coordinator
    std::int64_t elect_delay = 0;
    QuotaLimiter limiter;
    GrantHistory history;
  };

  std::size_t IndexOf(const Instance& instance) const { return &instance - m_instances.data(); }
  bool Reaches(std::size_t a, std::size_t b) const {
    return m_instances[a].lost_at < 0 && m_instances[b].lost_at < 0 &&
           m_instances[a].group == m_instances[b].group;
  }
  bool Follows(std::size_t follower, std::size_t coordinator) const {
    return m_instances[follower].coordinator == static_cast<int>(coordinator);
  }
  bool IsKnown(const Instance& other, std::int64_t now) const {
    return other.lost_at < 0 || now - other.lost_at < kRemoveAfterMs;
  }

  void Start(std::size_t index, std::int64_t now) {
    Instance& instance = m_instances[index] = Instance{};
    instance.registered = ++m_registrations;
    instance.started = now;
    instance.elect_delay = static_cast<std::int64_t>(m_random() % kMaxTickDelayMs);
    instance.limiter.SetTolerance(kTolerance);
    instance.history.Start(At(now));
  }

  void MakeFault(std::int64_t now) {
    m_next_fault = now + 2'000 + static_cast<std::int64_t>(m_random() % 9'000);
    if (m_options.has_partitions && m_random() % 2 == 0) {
      // Heals, cuts some off, or divides the fleet.
      const auto kind = m_random() % 4;
      for (Instance& instance : m_instances) {
        std::uint32_t group = 0;
        if (kind == 1) group = m_random() % 2;
        if (kind > 1) {
          const bool is_cut_off = m_random() % 4 == 0;
          const std::uint32_t other_group = 1 + m_random() % 3;
          if (is_cut_off) group = other_group;
        }
        instance.group = static_cast<int>(group);
      }
      return;
    }
    m_next_fault += m_options.has_partitions ? 0 : 14'000;
    std::size_t lost = m_random() % m_instances.size();
    const Instance* oldest = nullptr;
    for (const Instance& instance : m_instances)
      if (instance.lost_at < 0 && (oldest == nullptr || instance.registered < oldest->registered))
        oldest = &instance;
    if (oldest != nullptr && (!m_options.has_partitions || m_random() % 2 == 0))
      lost = IndexOf(*oldest);
    if (m_instances[lost].lost_at >= 0) return Start(lost, now);
    const auto running = std::count_if(m_instances.begin(), m_instances.end(),
                                       [](const Instance& other) { return other.lost_at < 0; });
    if (!m_options.has_partitions && running <= 2) return;
    m_takeover_until = now + 14'000;
    if (m_random() % 2 == 0 && m_options.has_partitions) return Start(lost, now);
    m_instances[lost].lost_at = now;
    m_instances[lost].followers.clear();
  }

  void UpdateLinks(std::size_t index, std::int64_t now) {
    Instance& self = m_instances[index];
    if (self.lost_at >= 0) return;
    for (auto& [follower, heard] : self.followers)
      if (Reaches(index, follower) && Follows(follower, index)) heard = now;
    std::erase_if(self.followers, [&](const auto& follower) {
      return now - follower.second > kSilenceMs + self.elect_delay ||
             (Reaches(index, follower.first) && !Follows(follower.first, index));
    });
    const int coordinator = self.coordinator;
    if (coordinator < 0 || coordinator == static_cast<int>(index)) return;
    if (Reaches(index, coordinator) && m_instances[coordinator].followers.contains(index))
      self.heard = now;
    if (now - self.heard > kSilenceMs + self.elect_delay) self.coordinator = -1;
  }

  void Elect(std::size_t index, std::int64_t now) {
    Instance& self = m_instances[index];
    if (self.lost_at >= 0 || now - self.started < self.elect_delay) return;
    if ((now / kTickMs + index) % 8 != 0) return;  // ticks of the fleet
    std::size_t best = index;
    for (std::size_t i = 0; i < m_instances.size(); ++i)
      if (Reaches(index, i) && m_instances[i].registered < m_instances[best].registered) best = i;
    if (self.coordinator == static_cast<int>(best)) return;
    self.coordinator = static_cast<int>(best);
    self.heard = now;
    if (best == index) {
      self.limiter.Reset(At(now));
    } else {
      self.limiter.StepDown();
      // A link that loses messages is closed, and established again later.
      if (m_options.has_partitions && m_random() % 5 == 0) {
        self.coordinator = -1;
        return;
      }
      m_instances[best].followers[index] = now;
    }
    m_instances[best].limiter.AddReport(InstanceId("i" + std::to_string(self.registered)),
                                        self.history.Report(At(now)), At(now));
  }

  void UpdateShare(Instance& self) {
    FleetPosition position;
    position.is_coordinator = self.coordinator == static_cast<int>(IndexOf(self));
    position.present = self.followers.size() + 1;
    position.known = 0;
    for (const Instance& other : m_instances)
      if (IsKnown(other, m_now)) ++position.known;
    self.limiter.SetShare(ShareOf(position));
  }

  /// Callers address running instances at random.
  void Ask(std::int64_t now) {
    m_now = now;
    m_owed += m_options.demand * kRate * kTickMs / 1'000;
    while (m_owed > 0) {
      const double cost = 1 + static_cast<double>(m_random() % 1'000) / 1'000 * m_options.max_cost;
      m_owed -= cost;
      const std::size_t home = m_random() % m_instances.size();
      const int coordinator = m_instances[home].coordinator;
      if (m_instances[home].lost_at >= 0 || coordinator < 0 || !Reaches(home, coordinator))
        continue;
      // A coordinator that has not taken over yet does not decide.
      if (m_instances[coordinator].coordinator != coordinator) continue;
      const bool is_granted =
          m_instances[coordinator].limiter.TryTake(m_organisation, cost, At(now));
      if (now < m_takeover_until) {
        ++m_result.asked_after_takeover;
        if (!is_granted) ++m_result.refused_after_takeover;
      }
      const bool is_lost = m_options.has_partitions && m_random() % 50 == 0;
      if (!is_granted || is_lost) continue;
      m_instances[home].history.Record(m_organisation, cost, At(now));
      Record(cost, now);
    }
  }

  void Record(double cost, std::int64_t now) {
    m_granted.emplace_back(now, cost);
    m_sum += cost;
    while (m_granted.front().first <= now - kTolerance.window.count()) {
      m_sum -= m_granted.front().second;
      m_granted.pop_front();
    }
    m_result.max_in_window = std::max(m_result.max_in_window, m_sum);
  }

  PlayOptions m_options;
  std::mt19937 m_random;
  Organisation m_organisation = MakeOrganisation();
  std::vector<Instance> m_instances;
  std::int64_t m_registrations = 0;
  std::int64_t m_next_fault = 0;
  std::int64_t m_takeover_until = 0;
  std::int64_t m_now = 0;
  double m_owed = 0;
  std::deque<std::pair<std::int64_t, double>> m_granted;
  double m_sum = 0;
  PlayResult m_result;
};

}  // namespace

// Guards against a sum of grants above the tolerance when instances are cut off, lost or restarted.
BOOST_AUTO_TEST_CASE(GrantsStayWithinTheToleranceInEveryWindow) {
  for (const bool has_partitions : {false, true}) {
    double worst = 0;
    int broken = 0;
    for (std::uint32_t seed = 1; seed <= kPlays; ++seed) {
      const PlayResult result = Play({seed, has_partitions, 6, 60}).Run();
      worst = std::max(worst, result.max_in_window / AllowedPerWindow());
      if (result.max_in_window > AllowedPerWindow()) ++broken;
    }
    BOOST_TEST_MESSAGE((has_partitions ? "partitions" : "takeovers only")
                       << ": largest sum in a window " << worst
                       << " of the tolerance, plays above it " << broken << " of " << kPlays);
    BOOST_TEST(broken == 0);
  }
}

// Guards against refusing an organisation within its quota because the successor of a lost
// coordinator does not know what was granted before.
BOOST_AUTO_TEST_CASE(TakeoversDoNotRefuseDemandWithinTheQuota) {
  int asked = 0;
  int refused = 0;
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    const PlayResult result = Play({seed, false, 0.9, 250}).Run();
    asked += result.asked_after_takeover;
    refused += result.refused_after_takeover;
  }
  BOOST_TEST_MESSAGE("refused after takeovers " << refused << " of " << asked);
  BOOST_TEST(asked > 1'000);
  BOOST_TEST(refused * 1'000 <= asked);
}

}  // namespace bluebellpass::gateway
