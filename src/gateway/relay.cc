#include "relay.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "bluebellpass/event.h"

namespace bluebellpass::gateway {
namespace {

// Waits of a reader of the store: short for the coordinator, whose proofs all others rely on.
constexpr Millis kSourceWait{700};
constexpr Millis kOwnWait{1'500};
// Largest pauses between calls to a store that does not answer. Followers hear from the coordinator
// when it answers again, so that an outage does not cost calls of each instance.
constexpr Millis kSourceSearch{500};
constexpr Millis kFollowerSearch{2'000};
// Older proofs end the reliance on the coordinator. Above the wait of its calls, and low enough for
// a change to be read from the store within the platform's bound of two seconds.
constexpr Millis kLongestProofAge{1'200};
// Most bytes that a change of the configuration may take on the coordinator's link, in total: 0.1 s
// at 10 Mbit/s, in which grants wait behind it. It is sent whole if that fits, or else as a
// difference; what is larger is read from the store by each instance.
constexpr std::size_t kMostBytesPerChange = 128U << 10U;
// Pauses after a change that was read from the store. A follower waits for the coordinator's next
// proof, which mostly makes a further call needless.
constexpr Millis kSourceSettle{60};
constexpr Millis kFollowerSettle{350};

}  // namespace

ObjectRelay::ObjectRelay(const BootClock& clock, ObjectWatch& config, ObjectWatch& backends)
    : m_clock(clock), m_config{&config, std::nullopt}, m_backends{&backends, std::nullopt} {}

void ObjectRelay::OnCoordinatorChanged(bool is_remote) {
  m_is_remote = is_remote;
  for (Channel* channel : {&m_config, &m_backends}) {
    channel->start.reset();
    channel->watch->SetMaxWait(is_remote ? kOwnWait : kSourceWait);
  }
  m_config.watch->SetCoalesceDelay(is_remote ? kFollowerSettle : kSourceSettle);
  m_config.watch->SetMaxBackoff(is_remote ? kFollowerSearch : kSourceSearch);
  Update();
}

bool ObjectRelay::IsSynced(const Channel& channel) {
  return channel.start && channel.watch->SeenRevision() >= *channel.start;
}

void ObjectRelay::Update() {
  const BootTime now = m_clock.Now();
  for (Channel* channel : {&m_config, &m_backends}) {
    const bool is_fresh = now - channel->watch->ConfirmedAt() < kLongestProofAge;
    channel->watch->SetSuspended(m_is_remote && IsSynced(*channel) && is_fresh);
  }
}

ConfirmMessage ObjectRelay::AnswerProbe(const ProbeMessage& probe) const {
  const BootTime now = m_clock.Now();
  ConfirmMessage confirm;
  confirm.probe_sent_ns = probe.sent_ns;
  confirm.config_revision = m_config.watch->SeenRevision().Value();
  confirm.config_age = now - m_config.watch->ConfirmedAt();
  confirm.backends_revision = m_backends.watch->SeenRevision().Value();
  confirm.backends_age = now - m_backends.watch->ConfirmedAt();
  return confirm;
}

ObjectMessage ObjectRelay::Announce(ObjectKind kind, const StoredObject& object,
                                    std::size_t instances) const {
  ObjectMessage message;
  message.kind = kind;
  message.name = object.name;
  message.revision = object.revision.Value();
  message.is_deleted = object.is_deleted;
  if (!object.spec || object.is_deleted) return message;
  const auto fits = [&](const std::string& text) {
    return text.size() * instances <= kMostBytesPerChange;
  };
  std::string whole = object.spec->dump();
  if (kind != ObjectKind::kConfig || fits(whole)) {
    message.spec = std::move(whole);
    return message;
  }
  const auto base = m_configs.find(object.name);
  if (base == m_configs.end()) return message;
  std::string patch = nlohmann::json::diff(*base->second.spec, *object.spec).dump();
  if (!fits(patch)) return message;
  message.patch = std::move(patch);
  message.base_revision = base->second.revision.Value();
  return message;
}

void ObjectRelay::SetDiffBase(const StoredObject& config) {
  if (config.spec && !config.is_deleted) {
    m_configs[config.name] = config;
  } else {
    m_configs.erase(config.name);
  }
}

ProbeMessage ObjectRelay::MakeProbe() const {
  return {m_clock.Now().since_boot.count(), HasStore()};
}

bool ObjectRelay::HasStore() const {
  return !m_config.watch->IsSuspended() &&
         m_clock.Now() - m_config.watch->ConfirmedAt() < kLongestProofAge + kOwnWait;
}

void ObjectRelay::OnConfirm(const ConfirmMessage& confirm) {
  // The coordinator answered after the probe was sent, so its state was current at this time at the
  // earliest, by this instance's own clock.
  const BootTime sent{std::chrono::nanoseconds(confirm.probe_sent_ns)};
  ConfirmChannel(m_config, Revision(confirm.config_revision),
                 sent + Millis(-confirm.config_age.count()));
  ConfirmChannel(m_backends, Revision(confirm.backends_revision),
                 sent + Millis(-confirm.backends_age.count()));
  Update();
}

void ObjectRelay::ConfirmChannel(Channel& channel, Revision revision, BootTime at) {
  // What a coordinator finds in its first list is not announced to its followers.
  if (!m_is_remote || revision == Revision{}) return;
  if (!channel.start) channel.start = revision;
  if (IsSynced(channel)) channel.watch->Confirm(revision, at);
}

ObjectRelay::Channel* ObjectRelay::Find(ObjectKind kind) {
  if (kind == ObjectKind::kConfig) return &m_config;
  return kind == ObjectKind::kBackends ? &m_backends : nullptr;
}

std::optional<StoredObject> ObjectRelay::Restore(const ObjectMessage& message) const {
  StoredObject object;
  object.name = message.name;
  object.revision = Revision(message.revision);
  object.is_deleted = message.is_deleted;
  if (message.is_deleted) return object;
  const bool is_whole = !message.spec.empty();
  if (!is_whole && message.patch.empty()) return std::nullopt;
  auto spec = nlohmann::json::parse(is_whole ? message.spec : message.patch, nullptr, false);
  if (!is_whole && !spec.is_discarded()) {
    const auto base = m_configs.find(message.name);
    if (base == m_configs.end() || base->second.revision != Revision(message.base_revision))
      return std::nullopt;
    try {
      spec = base->second.spec->patch(spec);
    } catch (const nlohmann::json::exception&) {
      spec = nlohmann::json(nlohmann::json::value_t::discarded);
    }
  }
  if (spec.is_discarded()) {
    LogEvent(EventId::kObjectRejected,
             {{"object", message.name}, {"reason", "the relayed object cannot be read"}});
    return std::nullopt;
  }
  object.spec = std::make_shared<const nlohmann::json>(std::move(spec));
  return object;
}

void ObjectRelay::OnObject(const ObjectMessage& message) {
  Channel* channel = Find(message.kind);
  if (channel == nullptr || !m_is_remote) return;
  if (const auto object = Restore(message)) return channel->watch->Take(*object);
  // This instance reads the store until it has seen the change.
  if (channel->start) channel->start = std::max(*channel->start, Revision(message.revision));
  Update();
}

}  // namespace bluebellpass::gateway
