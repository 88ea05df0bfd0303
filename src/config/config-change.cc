#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/config-limits.h"
#include "config/config-task.h"

/// Part of ConfigTask that writes operators' changes.

namespace bluebellpass {

namespace {

constexpr int kHexBase = 16;

std::string FormatHex(std::uint64_t number) {
  std::array<char, sizeof(number) * 2> text{};
  const auto [end, code] = std::to_chars(text.data(), text.data() + text.size(), number, kHexBase);
  return {text.data(), end};
}

/// @return the document with a token that makes it unique, so that a read identifies the change
std::string WithChangeToken(const std::string& document, const std::string& token) {
  auto json = nlohmann::json::parse(document, nullptr, false);
  json["change"] = token;
  return json.dump();
}

/// @return the document of a change, or the error of the edit, the validation or the size limit
Result<std::string> BuildDocument(const Result<ClusterConfig>& edited_config,
                                  const std::string& token) {
  if (!IsOk(edited_config)) return ErrorOf(edited_config);
  std::string document = FormatClusterConfig(std::get<0>(edited_config));
  const auto parsed = ParseClusterConfig(document);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  document = WithChangeToken(document, token);
  if (document.size() > detail::kMaxDocumentBytes) {
    return Error{ErrorKind::kTooLarge, "the configuration would be longer than 1 MiB"};
  }
  return document;
}

}  // namespace

std::string ConfigTask::NextChangeToken() {
  const InstanceInfo& self = m_network.Self();
  return FormatHex(StableHash(self.id.Text())) + "-" + FormatHex(self.incarnation.Value()) + "-" +
         std::to_string(m_next_change_id);
}

void ConfigTask::ChangeConfig(std::function<Result<ClusterConfig>(const ClusterConfig&)> edit,
                              std::function<void(Result<ObjectVersion>)> done) {
  const Result<std::string> document = BuildDocument(edit(m_current.config), NextChangeToken());
  if (!IsOk(document)) {
    m_timers.RunAfter(Millis{0},
                      [done = std::move(done), error = ErrorOf(document)] { done(error); });
    return;
  }
  const std::uint64_t id = m_next_change_id++;
  m_pending_changes[id] = {.document = std::get<0>(document),
                           .expected_version = m_current.version,
                           .done = std::move(done),
                           .deadline = m_timers.Now() + detail::kChangeTimeout};
  WriteChange(id);
}

void ConfigTask::WriteChange(std::uint64_t id) {
  const PendingChange& change = m_pending_changes.at(id);
  m_store.Put(detail::kConfigKey, change.document, change.expected_version,
              WrapCallback([this, id](const Result<ObjectVersion>& result) {
                OnChangeWritten(id, result);
              }));
}

void ConfigTask::OnChangeWritten(std::uint64_t id, const Result<ObjectVersion>& result) {
  const auto found = m_pending_changes.find(id);
  if (found == m_pending_changes.end()) return;
  if (IsOk(result)) {
    ConfirmChange(id, std::get<0>(result));
    return;
  }
  const Error& error = ErrorOf(result);
  PendingChange& change = found->second;
  if (error.kind == ErrorKind::kStoreUnavailable && !change.is_uncertain) {
    FinishChange(id, Error{ErrorKind::kStoreUnavailable, "nothing was written: " + error.message});
    return;
  }
  const bool is_certain = error.kind == ErrorKind::kConflict || error.kind == ErrorKind::kNotFound;
  if (!is_certain) change.is_uncertain = true;
  // A conflict is read back as well: a repeated write conflicts with its own first attempt.
  ReadBackChange(id);
}

void ConfigTask::ReadBackChange(std::uint64_t id) {
  m_store.Get(detail::kConfigKey, WrapCallback([this, id](const Result<VersionedObject>& result) {
                OnChangeReadBack(id, result);
              }));
}

void ConfigTask::OnChangeReadBack(std::uint64_t id, const Result<VersionedObject>& result) {
  if (!m_pending_changes.contains(id)) return;
  const bool is_missing = !IsOk(result) && ErrorOf(result).kind == ErrorKind::kNotFound;
  if (!IsOk(result) && !is_missing) {
    RetryChange(id, &ConfigTask::ReadBackChange);
    return;
  }
  const VersionedObject read = is_missing ? VersionedObject{} : std::get<0>(result);
  // A listener may start another change in ApplyConfig, so the entry is looked up after the call.
  ApplyConfig(read.version, read.value, Source::kStore);
  const PendingChange& change = m_pending_changes.at(id);
  if (read.value == change.document) {
    ConfirmChange(id, read.version);
  } else if (read.version == change.expected_version) {
    // The change is not written, but a delayed write may still arrive. Repeating the write with the
    // same expected version is safe: at most one of the two takes effect.
    RetryChange(id, change.is_uncertain ? &ConfigTask::WriteChange : &ConfigTask::ReadBackChange);
  } else {
    const std::string versions =
        "the change was based on version " + std::to_string(change.expected_version.Value()) +
        ", but version " + std::to_string(read.version.Value()) + " is in effect";
    if (change.is_uncertain) {
      FinishChange(id, Error{ErrorKind::kStoreUncertain,
                             versions + "; the change may have been in effect before it"});
    } else {
      FinishChange(id, Error{ErrorKind::kConflict, versions});
    }
  }
}

void ConfigTask::RetryChange(std::uint64_t id, void (ConfigTask::*step)(std::uint64_t)) {
  m_timers.RunAfter(detail::kChangeRetryDelay, WrapCallback([this, id, step] {
                      if (m_pending_changes.contains(id)) (this->*step)(id);
                    }));
}

void ConfigTask::ConfirmChange(std::uint64_t id, ObjectVersion version) {
  PendingChange& change = m_pending_changes.at(id);
  change.written_version = version;
  change.deadline = m_timers.Now() + detail::kPropagationTimeout;
  const std::string document = change.document;
  ApplyConfig(version, document, Source::kStore);
  CheckPendingChanges();
}

bool ConfigTask::HavePeersApplied(ObjectVersion version) const {
  const std::vector<Member> members = m_network.Members();
  return std::all_of(members.begin(), members.end(), [&](const Member& member) {
    const InstanceId& id = member.info.id;
    const bool is_required =
        id != m_network.Self().id && member.state == MemberState::kAlive && m_network.IsLinked(id);
    const auto found = m_peers.find(id);
    return !is_required ||
           (found != m_peers.end() && found->second.version.Value() >= version.Value());
  });
}

void ConfigTask::CheckPendingChanges() {
  std::vector<std::pair<std::uint64_t, Result<ObjectVersion>>> finished_changes;
  for (const auto& [id, change] : m_pending_changes) {
    const bool has_timed_out = m_timers.Now() >= change.deadline;
    if (change.written_version.Value() != 0) {
      if (has_timed_out || HavePeersApplied(change.written_version))
        finished_changes.emplace_back(id, change.written_version);
    } else if (has_timed_out) {
      finished_changes.emplace_back(
          id, Error{ErrorKind::kStoreUncertain,
                    "the object API did not confirm the change within 10 s; it "
                    "may take effect"});
    }
  }
  for (auto& [id, result] : finished_changes) FinishChange(id, std::move(result));
}

void ConfigTask::FinishChange(std::uint64_t id, Result<ObjectVersion> result) {
  // The entry is removed first because the callback may start another change.
  const auto node = m_pending_changes.extract(id);
  if (!node.empty()) node.mapped().done(std::move(result));
}

}  // namespace bluebellpass
