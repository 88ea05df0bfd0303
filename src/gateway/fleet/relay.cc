#include "relay.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "bluebellpass/event.h"

namespace bluebellpass::gateway {
namespace {

// Longest waits of watch calls; shorter on the coordinator, whose confirmations all others rely on.
constexpr Millis kCoordinatorMaxWait{700};
constexpr Millis kFollowerMaxWait{1'500};
// Smallest and largest backoffs while the store does not answer. Followers learn from the
// coordinator when it answers again, so an outage need not cost frequent calls of each instance.
constexpr Millis kCoordinatorInitialBackoff{50};
constexpr Millis kFollowerInitialBackoff{500};
constexpr Millis kCoordinatorMaxBackoff{500};
constexpr Millis kFollowerMaxBackoff{2'000};
// A follower with a confirmation older than this fraction of the time in which it must react to a
// change reads the store itself. The rest is for its own call.
constexpr double kConfirmationAgeFraction = 0.6;
// An instance whose last answer of the store is older counts as cut off from it.
constexpr Millis kMaxStoreContactAge{2'700};
// Most bytes that a configuration change may take on the coordinator's network link, summed over
// all followers. Grants queue behind it for 0.1 s at 10 Mbit/s. A larger configuration is sent as a
// patch; if that is too large as well, each instance reads the store.
constexpr std::size_t kMaxChangeBytes = 128U << 10U;
// Pauses after reading a change from the store. A follower waits for the coordinator's next
// confirmation, which usually saves the next call.
constexpr Millis kCoordinatorCoalesceDelay{60};
constexpr Millis kFollowerCoalesceDelay{350};

/// @return the revision on which a follower may rely, or 0 if it must not rely on this instance. A
/// change whose revision is still to be seen was announced before the follower may have come.
Revision ConfirmedRevision(const ObjectWatch& watch) {
  return watch.HasUnseenChange() ? Revision{} : watch.SeenRevision();
}

}  // namespace

ObjectRelay::ObjectRelay(const BootClock& clock, ObjectWatch& config, ObjectWatch& backends,
                         ObjectWatch* rollouts)
    : m_clock(clock),
      m_config{&config, std::nullopt},
      m_backends{&backends, std::nullopt},
      m_rollouts{rollouts, std::nullopt} {}

std::vector<ObjectRelay::Channel*> ObjectRelay::Channels() {
  std::vector<Channel*> channels = {&m_config, &m_backends};
  if (m_rollouts.watch != nullptr) channels.push_back(&m_rollouts);
  return channels;
}

void ObjectRelay::SetReactionBound(Millis bound) {
  m_max_confirmation_age = std::chrono::duration_cast<Millis>(bound * kConfirmationAgeFraction);
}

void ObjectRelay::OnCoordinatorChanged(bool is_remote) {
  m_has_remote_coordinator = is_remote;
  for (Channel* channel : Channels()) {
    channel->required_revision.reset();
    channel->watch->SetMaxWait(is_remote ? kFollowerMaxWait : kCoordinatorMaxWait);
    channel->watch->SetInitialBackoff(is_remote ? kFollowerInitialBackoff
                                                : kCoordinatorInitialBackoff);
  }
  m_config.watch->SetCoalesceDelay(is_remote ? kFollowerCoalesceDelay : kCoordinatorCoalesceDelay);
  m_config.watch->SetMaxBackoff(is_remote ? kFollowerMaxBackoff : kCoordinatorMaxBackoff);
  UpdateSuspension();
}

bool ObjectRelay::IsCaughtUp(const Channel& channel) {
  return channel.required_revision && channel.watch->SeenRevision() >= *channel.required_revision;
}

void ObjectRelay::UpdateSuspension() {
  const BootTime now = m_clock.Now();
  for (Channel* channel : Channels()) {
    const bool is_fresh = now - channel->watch->ConfirmedAt() < m_max_confirmation_age;
    channel->watch->SetSuspended(m_has_remote_coordinator && IsCaughtUp(*channel) && is_fresh);
  }
}

ConfirmMessage ObjectRelay::AnswerProbe(const ProbeMessage& probe) const {
  const BootTime now = m_clock.Now();
  ConfirmMessage confirm;
  confirm.probe_sent_ns = probe.sent_ns;
  confirm.config_revision = ConfirmedRevision(*m_config.watch).Value();
  confirm.config_age = now - m_config.watch->ConfirmedAt();
  confirm.backends_revision = ConfirmedRevision(*m_backends.watch).Value();
  confirm.backends_age = now - m_backends.watch->ConfirmedAt();
  confirm.features = kOwnFeatures;
  if (m_rollouts.watch != nullptr) {
    confirm.rollouts_revision = ConfirmedRevision(*m_rollouts.watch).Value();
    confirm.rollouts_age = now - m_rollouts.watch->ConfirmedAt();
  }
  return confirm;
}

ObjectMessage ObjectRelay::MakeAnnouncement(ObjectKind kind, const StoredObject& object,
                                            std::size_t instances) const {
  ObjectMessage message;
  message.kind = kind;
  message.name = object.name;
  message.revision = object.revision.Value();
  message.is_deleted = object.is_deleted;
  message.created = object.created;
  if (object.status) message.status = object.status->dump();
  if (!object.spec || object.is_deleted) return message;
  const auto fits = [&](const std::string& text) {
    return text.size() * instances <= kMaxChangeBytes;
  };
  std::string spec = object.spec->dump();
  if (kind != ObjectKind::kConfig || fits(spec)) {
    message.spec = std::move(spec);
    return message;
  }
  const auto base = m_diff_bases.find(object.name);
  if (base == m_diff_bases.end()) return message;
  std::string patch = nlohmann::json::diff(*base->second.spec, *object.spec).dump();
  if (!fits(patch)) return message;
  message.patch = std::move(patch);
  message.base_revision = base->second.revision.Value();
  return message;
}

void ObjectRelay::SetDiffBase(const StoredObject& config) {
  if (config.spec && !config.is_deleted) {
    m_diff_bases[config.name] = config;
  } else {
    m_diff_bases.erase(config.name);
  }
}

ProbeMessage ObjectRelay::MakeProbe() const {
  return {m_clock.Now().since_boot.count(), HasStoreContact(), kOwnFeatures};
}

bool ObjectRelay::HasStoreContact() const {
  return !m_config.watch->IsSuspended() &&
         m_clock.Now() - m_config.watch->ConfirmedAt() < kMaxStoreContactAge;
}

void ObjectRelay::OnConfirm(const ConfirmMessage& confirm) {
  // The ages are counted from the sending of the probe, by this instance's own clock. The answer
  // was made later, so no confirmation appears younger than it is.
  const BootTime sent{std::chrono::nanoseconds(confirm.probe_sent_ns)};
  ConfirmChannel(m_config, Revision(confirm.config_revision),
                 sent + Millis(-confirm.config_age.count()));
  ConfirmChannel(m_backends, Revision(confirm.backends_revision),
                 sent + Millis(-confirm.backends_age.count()));
  if (m_rollouts.watch != nullptr)
    ConfirmChannel(m_rollouts, Revision(confirm.rollouts_revision),
                   sent + Millis(-confirm.rollouts_age.count()));
  UpdateSuspension();
}

void ObjectRelay::ConfirmChannel(Channel& channel, Revision revision, BootTime at) {
  // Revision 0 means that this instance must not rely on the coordinator, which has no first list
  // yet and does not announce the objects of that list, or has a change whose revision it has not
  // seen.
  if (!m_has_remote_coordinator || revision == Revision{}) return;
  if (!channel.required_revision) channel.required_revision = revision;
  if (IsCaughtUp(channel)) channel.watch->Confirm(revision, at);
}

ObjectRelay::Channel* ObjectRelay::FindChannel(ObjectKind kind) {
  if (kind == ObjectKind::kConfig) return &m_config;
  if (kind == ObjectKind::kRollouts && m_rollouts.watch != nullptr) return &m_rollouts;
  return kind == ObjectKind::kBackends ? &m_backends : nullptr;
}

std::optional<StoredObject> ObjectRelay::DecodeObject(const ObjectMessage& message) const {
  StoredObject object;
  object.name = message.name;
  object.revision = Revision(message.revision);
  object.is_deleted = message.is_deleted;
  object.created = message.created;
  if (message.is_deleted) return object;
  if (!message.status.empty()) {
    auto status = nlohmann::json::parse(message.status, nullptr, false);
    if (!status.is_discarded())
      object.status = std::make_shared<const nlohmann::json>(std::move(status));
  }
  const bool has_spec = !message.spec.empty();
  if (!has_spec && message.patch.empty()) return std::nullopt;
  auto spec = nlohmann::json::parse(has_spec ? message.spec : message.patch, nullptr, false);
  if (!has_spec && !spec.is_discarded()) {
    const auto base = m_diff_bases.find(message.name);
    if (base == m_diff_bases.end() || base->second.revision != Revision(message.base_revision))
      return std::nullopt;
    try {
      spec = base->second.spec->patch(spec);
    } catch (const nlohmann::json::exception&) {
      spec = nlohmann::json(nlohmann::json::value_t::discarded);
    }
  }
  if (spec.is_discarded()) {
    LogEvent(EventId::kObjectRejected,
             {{"object", message.name}, {"reason", "the relayed object or patch is not valid"}});
    return std::nullopt;
  }
  object.spec = std::make_shared<const nlohmann::json>(std::move(spec));
  return object;
}

void ObjectRelay::OnObject(const ObjectMessage& message) {
  Channel* channel = FindChannel(message.kind);
  if (channel == nullptr || !m_has_remote_coordinator) return;
  if (const auto object = DecodeObject(message)) return channel->watch->ApplyRelayed(*object);
  // The change itself is missing, so this instance reads the store until it has the revision.
  if (channel->required_revision)
    channel->required_revision = std::max(*channel->required_revision, Revision(message.revision));
  UpdateSuspension();
}

}  // namespace bluebellpass::gateway
