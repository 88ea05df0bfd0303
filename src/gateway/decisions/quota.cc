#include "quota.h"

#include <algorithm>
#include <cmath>

namespace bluebellpass::gateway {
namespace {

// Fraction of the tolerated burst that is granted. Requests reach backend servers with varying
// delays, so a window there may hold a little more than was granted in one.
constexpr double kUsedBurstFraction = 0.9;

// Reports are accepted for this long after a takeover. Followers reach a new coordinator within 1.5
// s. Buckets are derived anew during this time, as if all who follow now had done so since the
// takeover, which would be wrong for one that was cut off and has decided by itself for longer.
constexpr Millis kReportTime{2'000};

}  // namespace

double QuotaLimiter::CostOf(const Organisation& organisation, const CallerRequest& request) {
  if (!organisation.is_quota_in_tokens) return 1;
  if (!request.prompt_tokens) return static_cast<double>(organisation.default_tokens);
  return static_cast<double>(*request.prompt_tokens + request.max_output_tokens);
}

void QuotaLimiter::Reset(TimePoint now) {
  m_buckets.clear();
  m_is_coordinator = true;
  m_handover.emplace().at = now;
  for (const auto& [instance, early] : m_early_reports)
    if (now - early.received_at <= m_tolerance.window) MergeReport(instance, early.report);
  const QuotaSteps steps(m_tolerance.window);
  for (const GrantedAmount& granted : m_early_grants)
    steps.Add(m_handover->reported[granted.organisation].granted, granted.at, granted.cost);
  m_early_reports.clear();
  m_early_grants.clear();
}

bool QuotaLimiter::IsInHandover(TimePoint now) const {
  return m_handover && now < m_handover->at + kReportTime;
}

void QuotaLimiter::StepDown() {
  m_is_coordinator = false;
  m_handover.reset();
}

void QuotaLimiter::AddReport(const InstanceId& instance, const QuotaReport& report, TimePoint now) {
  if (IsInHandover(now)) return MergeReport(instance, report);
  if (m_is_coordinator) return;
  std::erase_if(m_early_reports, [&](const auto& early) {
    return now - early.second.received_at > m_tolerance.window;
  });
  m_early_reports.insert_or_assign(instance, EarlyReport{report, now});
}

void QuotaLimiter::MergeReport(const InstanceId& instance, const QuotaReport& report) {
  QuotaHandover& handover = *m_handover;
  if (!handover.instances.insert(instance).second) return;
  if (report.remembered >= m_tolerance.window) ++handover.complete;
  handover.omitted_ratio += report.max_omitted_ratio;
  const QuotaSteps steps(m_tolerance.window);
  const OrganisationId* previous = nullptr;
  for (const GrantedAmount& granted : report.granted) {
    QuotaHandover::Reported& reported = handover.reported[granted.organisation];
    // The amounts of an organisation are adjacent.
    if (previous == nullptr || *previous != granted.organisation)
      reported.named_omitted_ratio += report.max_omitted_ratio;
    previous = &granted.organisation;
    if (granted.at > handover.at - m_tolerance.window)
      steps.Add(reported.granted, granted.at, granted.cost);
  }
}

double QuotaLimiter::LevelAfterTakeover(const Organisation& organisation, const Bucket& bucket,
                                        TimePoint now) const {
  const QuotaHandover& handover = *m_handover;
  const QuotaSteps steps(m_tolerance.window);
  double capacity = CapacityOf(organisation, m_share.earlier_quota);
  double rate_per_s = organisation.rate_per_s * m_share.earlier_quota;
  const double window_s = static_cast<double>(m_tolerance.window.count()) / 1000;
  const auto found = handover.reported.find(organisation.id);
  const QuotaHandover::Reported nothing;
  const QuotaHandover::Reported& reported =
      found == handover.reported.end() ? nothing : found->second;
  // Instances that have not reported count like the mean of those that have.
  const double scale =
      std::max(1.0, static_cast<double>(m_share.quota_instances) /
                        static_cast<double>(std::max<std::size_t>(handover.complete, 1)));
  double level = capacity;
  TimePoint time = handover.at - m_tolerance.window;
  const auto advance = [&](TimePoint to) {
    if (to <= time) return;
    level =
        std::min(capacity, level + std::chrono::duration<double>(to - time).count() * rate_per_s);
    time = to;
  };
  bool has_taken_over = false;
  const auto advance_past_takeover = [&](TimePoint to) {
    if (!has_taken_over && to > handover.at) {
      advance(handover.at);
      has_taken_over = true;
      // What is left is divided in the same way as the quotas from here on.
      if (level > 0) level *= m_share.quota / m_share.earlier_quota;
      capacity = CapacityOf(organisation, m_share.quota);
      rate_per_s = organisation.rate_per_s * m_share.quota;
    }
    advance(to);
  };
  const auto take = [&](std::int64_t step, double cost) {
    advance_past_takeover(std::min(steps.EndOf(step), now));
    level -= cost;
  };
  const std::int64_t takeover_step = steps.StepOf(handover.at);
  auto granted = bucket.granted.begin();
  for (const auto& [step, cost] : reported.granted) {
    for (; granted != bucket.granted.end() && granted->first <= step; ++granted)
      take(granted->first, granted->second);
    // Later ones were granted under other coordinators, while the instance was cut off.
    take(step, step <= takeover_step ? cost * scale : cost);
  }
  for (; granted != bucket.granted.end(); ++granted) take(granted->first, granted->second);
  advance_past_takeover(now);
  const double allowance = organisation.rate_per_s * window_s + organisation.burst;
  level -= (handover.omitted_ratio - reported.named_omitted_ratio) * allowance * scale;
  if (2 * handover.complete >= m_share.quota_instances) return level;
  double level_from_empty = std::chrono::duration<double>(now - handover.at).count() * rate_per_s;
  for (const auto& [step, cost] : bucket.granted) level_from_empty -= cost;
  return std::min(level, level_from_empty);
}

double QuotaLimiter::CapacityOf(const Organisation& organisation, double share) const {
  // The largest amount that a window may hold above the steady rate.
  const double window_s = static_cast<double>(m_tolerance.window.count()) / 1000;
  const double steady = organisation.rate_per_s * window_s;
  const double max_burst =
      (steady + organisation.burst) * (1 + m_tolerance.excess_ratio) + m_tolerance.slack - steady;
  return std::max(organisation.burst, max_burst * kUsedBurstFraction) * share;
}

QuotaLimiter::Bucket& QuotaLimiter::Refill(const Organisation& organisation, TimePoint now) {
  const double capacity = CapacityOf(organisation, m_share.quota);
  const double rate_per_s = organisation.rate_per_s * m_share.quota;
  const auto [found, is_new] = m_buckets.try_emplace(organisation.id);
  Bucket& bucket = found->second;
  if (is_new) {
    bucket.level = capacity;
    bucket.refilled_at = now;
  }
  if (IsInHandover(now)) {
    bucket.level = LevelAfterTakeover(organisation, bucket, now);
  } else {
    if (m_handover) {
      const TimePoint end = m_handover->at + kReportTime;
      if (is_new || bucket.refilled_at < end) {
        bucket.level = LevelAfterTakeover(organisation, bucket, end);
        bucket.refilled_at = end;
        bucket.granted = {};
      }
      // By then buckets have refilled from all that was reported.
      if (now > end + 2 * m_tolerance.window) m_handover->reported.clear();
    }
    const double elapsed_s = std::chrono::duration<double>(now - bucket.refilled_at).count();
    bucket.level =
        std::min(std::max(capacity, bucket.capacity), bucket.level + elapsed_s * rate_per_s);
    // Instances that have just been cut off use their part of what is left.
    if (bucket.level > 0 && capacity < bucket.capacity) bucket.level *= capacity / bucket.capacity;
    bucket.level = std::min(bucket.level, capacity);
  }
  bucket.refilled_at = now;
  bucket.capacity = capacity;
  bucket.rate_per_s = rate_per_s;
  return bucket;
}

bool QuotaLimiter::TryTake(const Organisation& organisation, double cost, TimePoint now) {
  if (organisation.rate_per_s <= 0) return true;
  Bucket& bucket = Refill(organisation, now);
  // A request larger than the bucket needs only a full one; otherwise it could never run.
  if (bucket.level < std::min(cost, bucket.capacity)) return false;
  bucket.level -= cost;
  if (IsInHandover(now)) {
    QuotaSteps(m_tolerance.window).Add(bucket.granted, now, cost);
  } else if (!m_is_coordinator && !m_early_reports.empty()) {
    // The reports that arrived before do not contain it.
    while (!m_early_grants.empty() && now - m_early_grants.front().at > m_tolerance.window)
      m_early_grants.pop_front();
    m_early_grants.push_back({organisation.id, now, cost});
  }
  return true;
}

void QuotaLimiter::Reserve(const OrganisationId& organisation, double cost) {
  m_reserved[organisation] += cost;
}

void QuotaLimiter::ReleaseReservation(const OrganisationId& organisation, double cost) {
  const auto found = m_reserved.find(organisation);
  if (found == m_reserved.end()) return;
  found->second -= cost;
  if (found->second <= 0) m_reserved.erase(found);
}

Millis QuotaLimiter::TimeUntilAvailable(const Organisation& organisation, double cost,
                                        TimePoint now) {
  if (organisation.rate_per_s <= 0) return Millis{0};
  const Bucket& bucket = Refill(organisation, now);
  const auto reserved = m_reserved.find(organisation.id);
  const double reserved_cost = reserved == m_reserved.end() ? 0 : reserved->second;
  const double missing = std::min(cost, bucket.capacity) + reserved_cost - bucket.level;
  if (missing <= 0 || bucket.rate_per_s <= 0) return Millis{0};
  return Millis(static_cast<std::int64_t>(std::ceil(missing / bucket.rate_per_s * 1000)));
}

void RetryBudget::DropExpired(TimePoint now) {
  const TimePoint since = now - m_options.window;
  while (!m_requests.empty() && m_requests.front() < since) m_requests.pop_front();
  while (!m_retries.empty() && m_retries.front() < since) m_retries.pop_front();
}

void RetryBudget::RecordRequest(TimePoint now) {
  DropExpired(now);
  m_requests.push_back(now);
}

bool RetryBudget::TryRetry(TimePoint now) {
  DropExpired(now);
  const double max_retries =
      m_options.ratio * static_cast<double>(m_requests.size()) + m_options.min_retries;
  if (static_cast<double>(m_retries.size()) + 1 > max_retries) return false;
  m_retries.push_back(now);
  return true;
}

void RetryBudgets::SetOptions(const RetryBudget::Options& options) {
  m_options = options;
  for (auto& [service, budget] : m_budgets) budget.SetOptions(options);
}

RetryBudget& RetryBudgets::For(const ServiceName& service) {
  return m_budgets.try_emplace(service, m_options).first->second;
}

}  // namespace bluebellpass::gateway
