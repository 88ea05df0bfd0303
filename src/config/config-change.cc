#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/config-limits.h"
#include "config/config-task.h"

/// The part of ConfigTask that writes operators' changes.

namespace bluebellpass {

namespace {

constexpr int kHexBase = 16;

std::string Hex(std::uint64_t number) {
  std::array<char, sizeof(number) * 2> text{};
  const auto [end, code] = std::to_chars(text.data(), text.data() + text.size(), number, kHexBase);
  return {text.data(), end};
}

/// @return the document with the token that makes it unlike any other
std::string WithToken(const std::string& document, const std::string& token) {
  auto json = nlohmann::json::parse(document, nullptr, false);
  json["change"] = token;
  return json.dump();
}

/// Forms the document of a change, or says why there is none.
Result<std::string> FormDocument(const Result<ClusterConfig>& edited, const std::string& token) {
  if (!IsOk(edited)) return ErrorOf(edited);
  std::string document = FormatClusterConfig(std::get<0>(edited));
  const auto parsed = ParseClusterConfig(document);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  document = WithToken(document, token);
  if (document.size() > detail::kMaxDocumentBytes) {
    return Error{ErrorKind::kTooLarge, "the configuration would be longer than 1 MiB"};
  }
  return document;
}

}  // namespace

std::string ConfigTask::NextToken() {
  const InstanceInfo& self = m_network.Self();
  return Hex(StableHash(self.id.Text())) + "-" + Hex(self.incarnation.Value()) + "-" +
         std::to_string(m_next_change);
}

void ConfigTask::ChangeConfig(std::function<Result<ClusterConfig>(const ClusterConfig&)> edit,
                              std::function<void(Result<ObjectVersion>)> done) {
  const Result<std::string> document = FormDocument(edit(m_current.config), NextToken());
  if (!IsOk(document)) {
    m_timers.RunAfter(Millis{0},
                      [done = std::move(done), error = ErrorOf(document)] { done(error); });
    return;
  }
  const std::uint64_t id = m_next_change++;
  m_changes[id] = {.document = std::get<0>(document),
                   .expected = m_current.version,
                   .done = std::move(done),
                   .deadline = m_timers.Now() + detail::kChangeLimit};
  Write(id);
}

void ConfigTask::Write(std::uint64_t id) {
  const PendingChange& change = m_changes.at(id);
  m_store.Put(detail::kConfigKey, change.document, change.expected,
              Guard([this, id](const Result<ObjectVersion>& result) { OnWritten(id, result); }));
}

void ConfigTask::OnWritten(std::uint64_t id, const Result<ObjectVersion>& result) {
  const auto found = m_changes.find(id);
  if (found == m_changes.end()) return;
  if (IsOk(result)) {
    Accept(id, std::get<0>(result));
    return;
  }
  const Error& error = ErrorOf(result);
  PendingChange& change = found->second;
  if (error.kind == ErrorKind::kStoreUnavailable && !change.is_uncertain) {
    Finish(id, Error{ErrorKind::kStoreUnavailable, "nothing was written: " + error.message});
    return;
  }
  const bool is_certain = error.kind == ErrorKind::kConflict || error.kind == ErrorKind::kNotFound;
  if (!is_certain) change.is_uncertain = true;
  // A conflict is read back, too: a repeated write conflicts with its own first attempt.
  ReadBack(id);
}

void ConfigTask::ReadBack(std::uint64_t id) {
  m_store.Get(detail::kConfigKey,
              Guard([this, id](const Result<VersionedObject>& result) { OnReadBack(id, result); }));
}

void ConfigTask::OnReadBack(std::uint64_t id, const Result<VersionedObject>& result) {
  if (!m_changes.contains(id)) return;
  const bool is_missing = !IsOk(result) && ErrorOf(result).kind == ErrorKind::kNotFound;
  if (!IsOk(result) && !is_missing) {
    RetryChange(id, &ConfigTask::ReadBack);
    return;
  }
  const VersionedObject read = is_missing ? VersionedObject{} : std::get<0>(result);
  // A listener of the configuration may begin a change, so the entry is looked up afterwards.
  Apply(read.version, read.value, Source::kStore);
  const PendingChange& change = m_changes.at(id);
  if (read.value == change.document) {
    Accept(id, read.version);
  } else if (read.version == change.expected) {
    // Not written so far, but a delayed write may still arrive. Writing the same document under the
    // same condition settles it: at most one of the two takes effect.
    RetryChange(id, change.is_uncertain ? &ConfigTask::Write : &ConfigTask::ReadBack);
  } else {
    const std::string versions = "the change was based on version " +
                                 std::to_string(change.expected.Value()) + ", but version " +
                                 std::to_string(read.version.Value()) + " is in effect";
    if (change.is_uncertain) {
      Finish(id, Error{ErrorKind::kStoreUncertain,
                       versions + "; the change may have been in effect in between"});
    } else {
      Finish(id, Error{ErrorKind::kConflict, versions});
    }
  }
}

void ConfigTask::RetryChange(std::uint64_t id, void (ConfigTask::*step)(std::uint64_t)) {
  m_timers.RunAfter(detail::kChangeRetry, Guard([this, id, step] {
                      if (m_changes.contains(id)) (this->*step)(id);
                    }));
}

void ConfigTask::Accept(std::uint64_t id, ObjectVersion version) {
  PendingChange& change = m_changes.at(id);
  change.accepted = version;
  change.deadline = m_timers.Now() + detail::kSpreadLimit;
  const std::string document = change.document;
  Apply(version, document, Source::kStore);
  CheckChanges();
}

bool ConfigTask::IsSpread(ObjectVersion version) const {
  const std::vector<Member> members = m_network.Members();
  return std::all_of(members.begin(), members.end(), [&](const Member& member) {
    const InstanceId& id = member.info.id;
    const bool must_have =
        id != m_network.Self().id && member.state == MemberState::kAlive && m_network.IsLinked(id);
    const auto found = m_peers.find(id);
    return !must_have ||
           (found != m_peers.end() && found->second.version.Value() >= version.Value());
  });
}

void ConfigTask::CheckChanges() {
  std::vector<std::pair<std::uint64_t, Result<ObjectVersion>>> finished;
  for (const auto& [id, change] : m_changes) {
    const bool is_late = m_timers.Now() >= change.deadline;
    if (change.accepted.Value() != 0) {
      if (is_late || IsSpread(change.accepted)) finished.emplace_back(id, change.accepted);
    } else if (is_late) {
      finished.emplace_back(id, Error{ErrorKind::kStoreUncertain,
                                      "the object API did not confirm the change within 10 s; it "
                                      "may take effect"});
    }
  }
  for (auto& [id, result] : finished) Finish(id, std::move(result));
}

void ConfigTask::Finish(std::uint64_t id, Result<ObjectVersion> result) {
  // The entry goes first, since the caller may begin another change.
  const auto node = m_changes.extract(id);
  if (!node.empty()) node.mapped().done(std::move(result));
}

}  // namespace bluebellpass
