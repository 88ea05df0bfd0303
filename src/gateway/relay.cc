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
// Up to this many instances, configurations are sent whole. Larger fleets read them from the store,
// since a coordinator with a slow link could not send them all in time.
constexpr std::size_t kMostWholeCopies = 16;

}  // namespace

Relay::Relay(const BootClock& clock, ObjectWatch& config, ObjectWatch& backends)
    : m_clock(clock), m_config{&config, std::nullopt}, m_backends{&backends, std::nullopt} {}

void Relay::SetFollowing(bool is_remote) {
  m_is_remote = is_remote;
  for (Channel* channel : {&m_config, &m_backends}) {
    channel->start.reset();
    channel->watch->SetWait(is_remote ? kOwnWait : kSourceWait);
  }
  m_config.watch->SetLargestBackoff(is_remote ? kFollowerSearch : kSourceSearch);
  Update();
}

bool Relay::IsSynced(const Channel& channel) {
  return channel.start && channel.watch->Seen() >= *channel.start;
}

void Relay::Update() {
  const BootTime now = m_clock.Now();
  for (Channel* channel : {&m_config, &m_backends}) {
    const bool is_fresh = now - channel->watch->ProvedAt() < kLongestProofAge;
    channel->watch->SetSuspended(m_is_remote && IsSynced(*channel) && is_fresh);
  }
}

ConfirmMessage Relay::AnswerProbe(const ProbeMessage& probe) const {
  const BootTime now = m_clock.Now();
  ConfirmMessage confirm;
  confirm.probe_sent_ns = probe.sent_ns;
  confirm.config_revision = m_config.watch->Seen().Value();
  confirm.config_age = now - m_config.watch->ProvedAt();
  confirm.backends_revision = m_backends.watch->Seen().Value();
  confirm.backends_age = now - m_backends.watch->ProvedAt();
  return confirm;
}

ObjectMessage Relay::Announce(ObjectKind kind, const StoredObject& object, std::size_t instances) {
  ObjectMessage message;
  message.kind = kind;
  message.name = object.name;
  message.revision = object.revision.Value();
  message.is_deleted = object.is_deleted;
  const bool is_whole = kind != ObjectKind::kConfig || instances <= kMostWholeCopies;
  if (object.spec && !object.is_deleted && is_whole) message.spec = object.spec->dump();
  return message;
}

ProbeMessage Relay::MakeProbe() const { return {m_clock.Now().since_boot.count(), HasStore()}; }

bool Relay::HasStore() const {
  return !m_config.watch->IsSuspended() &&
         m_clock.Now() - m_config.watch->ProvedAt() < kLongestProofAge + kOwnWait;
}

void Relay::OnConfirm(const ConfirmMessage& confirm) {
  // The coordinator answered after the probe was sent, so its state was current at this time at the
  // earliest, by this instance's own clock.
  const BootTime sent{std::chrono::nanoseconds(confirm.probe_sent_ns)};
  ConfirmChannel(m_config, Revision(confirm.config_revision),
                 sent + Millis(-confirm.config_age.count()));
  ConfirmChannel(m_backends, Revision(confirm.backends_revision),
                 sent + Millis(-confirm.backends_age.count()));
  Update();
}

void Relay::ConfirmChannel(Channel& channel, Revision revision, BootTime at) {
  // What a coordinator finds in its first list is not announced to its followers.
  if (!m_is_remote || revision == Revision{}) return;
  if (!channel.start) channel.start = revision;
  if (IsSynced(channel)) channel.watch->Confirm(revision, at);
}

Relay::Channel* Relay::Find(ObjectKind kind) {
  if (kind == ObjectKind::kConfig) return &m_config;
  return kind == ObjectKind::kBackends ? &m_backends : nullptr;
}

void Relay::OnObject(const ObjectMessage& message) {
  Channel* channel = Find(message.kind);
  if (channel == nullptr || !m_is_remote) return;
  if (!message.is_deleted && message.spec.empty()) {
    // Only announced: this instance reads the store until it has seen the change.
    if (channel->start) channel->start = std::max(*channel->start, Revision(message.revision));
    return Update();
  }
  StoredObject object;
  object.name = message.name;
  object.revision = Revision(message.revision);
  object.is_deleted = message.is_deleted;
  if (!message.spec.empty()) {
    auto spec = nlohmann::json::parse(message.spec, nullptr, false);
    if (spec.is_discarded()) {
      LogEvent(EventId::kObjectRejected,
               {{"object", message.name}, {"reason", "the relayed object cannot be read"}});
      // The store has it whole.
      if (channel->start) channel->start = std::max(*channel->start, object.revision);
      return Update();
    }
    object.spec = std::make_shared<const nlohmann::json>(std::move(spec));
  }
  channel->watch->Take(object);
}

}  // namespace bluebellpass::gateway
