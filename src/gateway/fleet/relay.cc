#include "relay.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

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
// A request names all objects up to this number, which makes the base of a patch certain. Of more
// objects it names those after its revision, so that it stays small.
constexpr std::size_t kMaxHeldObjects = 16;

/// @return the revision on which a follower may rely, or 0 if it must not rely on this instance. A
/// change whose revision is still to be seen was announced before the follower may have come.
Revision ConfirmedRevision(const ObjectWatch& watch) {
  return watch.HasUnseenChange() ? Revision{} : watch.SeenRevision();
}

}  // namespace

ObjectRelay::ObjectRelay(const BootClock& clock, ObjectWatch& config, ObjectWatch& backends,
                         ObjectWatch* rollouts)
    : m_clock(clock),
      m_config(ObjectKind::kConfig, &config),
      m_backends(ObjectKind::kBackends, &backends),
      m_rollouts(ObjectKind::kRollouts, rollouts) {}

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
    channel->missed_revision = Revision{};
    channel->receiver.Reset();
    channel->watch->SetMaxWait(is_remote ? kFollowerMaxWait : kCoordinatorMaxWait);
    channel->watch->SetInitialBackoff(is_remote ? kFollowerInitialBackoff
                                                : kCoordinatorInitialBackoff);
  }
  m_config.watch->SetCoalesceDelay(is_remote ? kFollowerCoalesceDelay : kCoordinatorCoalesceDelay);
  m_config.watch->SetMaxBackoff(is_remote ? kFollowerMaxBackoff : kCoordinatorMaxBackoff);
  UpdateSuspension();
}

bool ObjectRelay::IsCaughtUp(const Channel& channel) {
  return channel.required_revision &&
         channel.watch->SeenRevision() >=
             std::max(*channel.required_revision, channel.missed_revision);
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
  const bool knows_eras = (probe.features & kFeatureStoreEras) != 0;
  const auto revision_of = [&](const ObjectWatch& watch) {
    const Revision revision = ConfirmedRevision(watch);
    // Older builds cannot compare it with what they read, and get no changes.
    return knows_eras || EraOf(revision) == StoreEra{} ? revision.Value() : 0;
  };
  ConfirmMessage confirm;
  confirm.probe_sent_ns = probe.sent_ns;
  confirm.config_revision = revision_of(*m_config.watch);
  confirm.config_age = now - m_config.watch->ConfirmedAt();
  confirm.backends_revision = revision_of(*m_backends.watch);
  confirm.backends_age = now - m_backends.watch->ConfirmedAt();
  confirm.features = kOwnFeatures;
  if (m_rollouts.watch != nullptr) {
    confirm.rollouts_revision = revision_of(*m_rollouts.watch);
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
  const StoredObject* base = m_config.history.Find(object.name);
  if (base == nullptr) return message;
  std::string patch = ObjectHistory::MakePatch(*base->spec, *object.spec);
  if (!fits(patch)) return message;
  message.patch = std::move(patch);
  message.base_revision = base->revision.Value();
  return message;
}

void ObjectRelay::RecordObject(ObjectKind kind, const StoredObject& object) {
  Channel* channel = FindChannel(kind);
  if (channel != nullptr) channel->history.Record(object, channel->watch->SeenRevision());
}

std::optional<std::string> ObjectRelay::MakeTransfer(const StateRequestMessage& request) const {
  const Channel* channel = FindChannel(request.kind);
  if (channel == nullptr) return std::nullopt;
  const Revision seen = ConfirmedRevision(*channel->watch);
  if (seen == Revision{}) return std::nullopt;
  StateContent content = channel->history.MakeContent(request, seen);
  content.age = m_clock.Now() - channel->watch->ConfirmedAt();
  return EncodeStateContent(content);
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
  const StoreEra own_era = EraOf(channel.watch->SeenRevision());
  // The coordinator does not know yet that the store has come back from a copy.
  if (EraOf(revision) < own_era) return;
  // What the copy lacks is not announced to an instance that has read more than the coordinator.
  if (!channel.required_revision || EraOf(revision) > own_era) channel.required_revision = revision;
  if (IsCaughtUp(channel)) channel.watch->Confirm(revision, at);
}

const ObjectRelay::Channel* ObjectRelay::FindChannel(ObjectKind kind) const {
  if (kind == ObjectKind::kConfig) return &m_config;
  if (kind == ObjectKind::kRollouts && m_rollouts.watch != nullptr) return &m_rollouts;
  return kind == ObjectKind::kBackends ? &m_backends : nullptr;
}

ObjectRelay::Channel* ObjectRelay::FindChannel(ObjectKind kind) {
  return const_cast<Channel*>(std::as_const(*this).FindChannel(kind));
}

std::optional<StoredObject> ObjectRelay::DecodeObject(const Channel& channel,
                                                      const ObjectMessage& message) {
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
    const StoredObject* base = channel.history.Find(message.name);
    if (base == nullptr || base->revision != Revision(message.base_revision)) return std::nullopt;
    try {
      spec = base->spec->patch(spec);
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
  if (EraOf(Revision(message.revision)) < EraOf(channel->watch->SeenRevision())) return;
  if (const auto object = DecodeObject(*channel, message))
    return channel->watch->ApplyRelayed(*object);
  // The change itself is missing, so this instance reads the store, and asks the coordinator, until
  // it has the revision. The first confirmation over this link may still be to come.
  channel->missed_revision = std::max(channel->missed_revision, Revision(message.revision));
  UpdateSuspension();
}

std::vector<StateRequestMessage> ObjectRelay::TakeRequests() {
  std::vector<StateRequestMessage> requests;
  const BootTime now = m_clock.Now();
  for (Channel* channel : Channels()) {
    const bool is_lacking =
        m_has_remote_coordinator && channel->required_revision && !IsCaughtUp(*channel);
    if (!channel->receiver.IsRequestDue(is_lacking, now)) continue;
    StateRequestMessage request = channel->receiver.StartRequest(channel->kind, now);
    const Revision seen = channel->watch->SeenRevision();
    const auto& objects = channel->watch->ObjectRevisions();
    request.revision = seen.Value();
    request.holds_all = objects.size() <= kMaxHeldObjects;
    for (const auto& [name, revision] : objects)
      if (request.holds_all || revision > seen) request.held.push_back({name, revision.Value()});
    requests.push_back(std::move(request));
  }
  return requests;
}

void ObjectRelay::OnStatePiece(const StatePieceMessage& piece) {
  Channel* channel = FindChannel(piece.kind);
  if (channel == nullptr || !m_has_remote_coordinator) return;
  const auto transfer = channel->receiver.AddPiece(piece, m_clock.Now());
  // The store may have answered this instance first.
  if (!transfer || Revision(transfer->content.revision) <= channel->watch->SeenRevision()) return;
  ApplyTransfer(*channel, *transfer);
  UpdateSuspension();
}

void ObjectRelay::ApplyTransfer(Channel& channel, const TransferReceiver::Completed& transfer) {
  const StateContent& content = transfer.content;
  const Revision revision(content.revision);
  std::vector<StoredObject> objects;
  for (const ObjectMessage& message : content.objects) {
    const Revision object_revision(message.revision);
    const auto known = channel.watch->ObjectRevisions().find(message.name);
    // A newer version was relayed during the transfer, and the base of a patch is gone.
    if (known != channel.watch->ObjectRevisions().end() &&
        (message.is_deleted ? known->second > object_revision : known->second >= object_revision))
      continue;
    const bool has_spec = message.is_deleted || !message.spec.empty() || !message.patch.empty();
    auto object = has_spec ? DecodeObject(channel, message)
                           : StoredObject{message.name, object_revision, false,
                                          nullptr,      nullptr,         message.created};
    if (!object) return channel.receiver.RequireWhole();
    objects.push_back(std::move(*object));
  }
  if (content.has_names) {
    const std::set<std::string> names(content.names.begin(), content.names.end());
    for (const auto& [name, known] : channel.watch->ObjectRevisions())
      if (!names.contains(name) && known <= revision)
        objects.push_back({name, revision, true, nullptr, nullptr, 0});
  }
  channel.watch->ApplyTransfer(objects, revision);
  // The age is counted from the sending of the request, as that of a confirmation.
  channel.watch->Confirm(revision, transfer.requested_at + Millis(-content.age.count()));
  LogEvent(EventId::kStateReceived,
           {{"kind", std::string(NameOf(channel.kind))},
            {"revision", static_cast<std::int64_t>(NumberOf(Revision(content.revision)))},
            {"objects", static_cast<std::int64_t>(objects.size())},
            {"age_ms", content.age.count()}});
}

}  // namespace bluebellpass::gateway
