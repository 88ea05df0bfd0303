#include "submission.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <vector>

namespace bluebellpass {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kDefaultMaxTokens = 256;
constexpr std::size_t kMaxKeyBytes = 200;
// The JSON writer recurses once per level; 100,000 levels overflow a stack of 8 MiB.
constexpr std::size_t kMaxNesting = 64;
constexpr char kBodyField[] = "body";  // field of errors that concern the whole body
// Engines cache prefixes in blocks; prompts that share their first kilobyte are taken to share a
// cached prefix.
constexpr std::size_t kPrefixBytes = 1024;
// Typical ratio for text in Latin script. The engine reports the exact counts after the run.
constexpr std::size_t kBytesPerToken = 4;
constexpr std::array<std::string_view, 8> kKnownMembers = {
    "organisation",    "tier",   "pool",       "deadline_ms", "idempotent",
    "idempotency_key", "prompt", "max_tokens",
};

Error MakeError(ErrorKind kind, std::string field, std::string message) {
  return Error{kind, std::move(message), std::move(field)};
}

/// Parses the body and rejects deep nesting and duplicate members. The JSON library accepts both,
/// and silently keeps the last duplicate.
class BodyParser {
 public:
  Result<json> Parse(std::string_view body) {
    json document = json::parse(
        body,
        [this](int depth, json::parse_event_t event, const json& value) {
          return OnEvent(static_cast<std::size_t>(depth), event, value);
        },
        false);
    if (m_error) return *m_error;
    if (document.is_discarded()) {
      return MakeError(ErrorKind::kBadRequest, kBodyField, "the body is not valid JSON in UTF-8");
    }
    if (!document.is_object()) {
      return MakeError(ErrorKind::kBadRequest, kBodyField, "the body must be a JSON object");
    }
    return document;
  }

 private:
  /// @return false to discard the value, which saves memory once the body is known to be invalid
  bool OnEvent(std::size_t depth, json::parse_event_t event, const json& value) {
    if (m_error) return false;
    const bool is_object = event == json::parse_event_t::object_start;
    if ((is_object || event == json::parse_event_t::array_start) && depth >= kMaxNesting) {
      m_error = MakeError(ErrorKind::kBadRequest, kBodyField,
                          "the body is nested more than 64 levels deep");
      return false;
    }
    if (is_object) {
      m_names.resize(std::max(m_names.size(), depth + 1));
      m_names[depth].clear();
    } else if (event == json::parse_event_t::key) {
      const auto& name = value.get_ref<const std::string&>();
      if (!m_names[depth - 1].insert(name).second) {
        const std::string field = name.substr(0, kMaxKeyBytes);
        m_error = MakeError(ErrorKind::kBadRequest, field, field + " is given more than once");
      }
    }
    return true;
  }

  std::vector<std::set<std::string>> m_names;  ///< member names of the open object at each level
  std::optional<Error> m_error;
};

/// Reads members of the body and keeps the first error.
class MemberReader {
 public:
  explicit MemberReader(const json& body) : m_body(body) {}

  std::string Text(const char* name, bool is_required) {
    const auto found = m_body.find(name);
    if (found == m_body.end()) {
      if (is_required) Fail(name, "is missing");
      return {};
    }
    if (!found->is_string()) {
      Fail(name, "must be a string");
      return {};
    }
    return found->get<std::string>();
  }

  std::int64_t Number(const char* name, std::int64_t default_value, std::int64_t min,
                      std::int64_t max) {
    const auto found = m_body.find(name);
    if (found == m_body.end()) return default_value;
    if (!found->is_number_integer()) {
      Fail(name, "must be a whole number");
      return default_value;
    }
    // A number above the signed range is read as negative, and the lower bound rejects it.
    const auto value = found->get<std::int64_t>();
    if (value < min || value > max) {
      Fail(name, "must be from " + std::to_string(min) + " to " + std::to_string(max));
    }
    return value;
  }

  std::optional<bool> Flag(const char* name) {
    const auto found = m_body.find(name);
    if (found == m_body.end()) return std::nullopt;
    if (!found->is_boolean()) {
      Fail(name, "must be true or false");
      return std::nullopt;
    }
    return found->get<bool>();
  }

  void Fail(const std::string& field, const std::string& message) {
    if (!m_error) m_error = MakeError(ErrorKind::kBadRequest, field, field + " " + message);
  }

  void RejectUnknownMembers() {
    for (const auto& [name, value] : m_body.items()) {
      if (std::find(kKnownMembers.begin(), kKnownMembers.end(), name) == kKnownMembers.end()) {
        Fail(name.substr(0, kMaxKeyBytes), "is not a known field");
      }
    }
  }

  const std::optional<Error>& FirstError() const { return m_error; }

 private:
  const json& m_body;
  std::optional<Error> m_error;
};

std::string ReadPrompt(const json& body, MemberReader& reader) {
  const auto found = body.find("prompt");
  if (found == body.end()) {
    reader.Fail("prompt", "is missing");
    return {};
  }
  if (found->is_string()) return found->get<std::string>();
  if (found->is_object()) return found->dump();
  reader.Fail("prompt", "must be a string, or an object for a plain service");
  return {};
}

std::optional<Error> CheckReferences(const Submission& submission, const ClusterConfig& config) {
  if (config.FindOrganisation(submission.organisation) == nullptr) {
    return MakeError(ErrorKind::kUnknownOrganisation, "organisation",
                     "organisation is not in the configuration");
  }
  if (config.FindTier(submission.tier) == nullptr) {
    return MakeError(ErrorKind::kUnknownTier, "tier", "tier is not in the configuration");
  }
  if (!config.HasPool(submission.pool)) {
    return MakeError(ErrorKind::kUnknownPool, "pool", "no backend server belongs to this pool");
  }
  return std::nullopt;
}

bool IsServicePool(const PoolName& pool, const ClusterConfig& config) {
  return std::any_of(config.backends.begin(), config.backends.end(), [&](const auto& backend) {
    return backend.pool == pool && backend.kind == "service";
  });
}

std::optional<Error> CheckIdempotencyKey(const Submission& submission) {
  if (submission.idempotency_key.size() > kMaxKeyBytes) {
    return MakeError(ErrorKind::kBadRequest, "idempotency_key",
                     "idempotency_key must have at most 200 characters");
  }
  // The key is sent in a header, where a line break would let the caller inject other headers.
  const bool is_printable =
      std::all_of(submission.idempotency_key.begin(), submission.idempotency_key.end(),
                  [](char c) { return c > ' ' && c <= '~'; });
  if (!is_printable) {
    return MakeError(ErrorKind::kBadRequest, "idempotency_key",
                     "idempotency_key must consist of printable ASCII characters without spaces");
  }
  if (!submission.is_idempotent && submission.idempotency_key.empty()) {
    return MakeError(ErrorKind::kMissingIdempotencyKey, "idempotency_key",
                     "a request that is not idempotent needs an idempotency_key");
  }
  return std::nullopt;
}

}  // namespace

Result<Submission> ParseSubmission(std::string_view body, const ClusterConfig& config) {
  const Result<json> parsed = BodyParser().Parse(body);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  const json& document = std::get<json>(parsed);
  MemberReader reader(document);
  Submission submission;
  submission.organisation = OrganisationId(reader.Text("organisation", true));
  submission.tier = TierName(reader.Text("tier", true));
  submission.pool = PoolName(reader.Text("pool", true));
  if (!document.contains("deadline_ms")) reader.Fail("deadline_ms", "is missing");
  submission.deadline = Millis(reader.Number("deadline_ms", 1, 1, kMaxDeadline.count()));
  submission.max_tokens = Tokens(reader.Number("max_tokens", kDefaultMaxTokens, 1, kMaxTokens));
  submission.idempotency_key = reader.Text("idempotency_key", false);
  submission.prompt = ReadPrompt(document, reader);
  const std::optional<bool> is_idempotent = reader.Flag("idempotent");
  reader.RejectUnknownMembers();
  if (reader.FirstError()) return *reader.FirstError();
  if (const auto error = CheckReferences(submission, config)) return *error;

  const bool is_service = IsServicePool(submission.pool, config);
  if (is_service && !is_idempotent) {
    // The default is true: if a caller omitted the flag by mistake, a call with side effects could
    // run twice.
    return MakeError(ErrorKind::kBadRequest, "idempotent",
                     "idempotent is required for plain services");
  }
  if (is_service && !json::accept(submission.prompt)) {
    return MakeError(ErrorKind::kBadRequest, "prompt", "prompt must be JSON for a plain service");
  }
  submission.is_idempotent = is_idempotent.value_or(true);
  if (const auto error = CheckIdempotencyKey(submission)) return *error;

  submission.rank = config.FindTier(submission.tier)->rank;
  if (is_service) submission.max_tokens = Tokens(0);
  const std::size_t tokens = (submission.prompt.size() + kBytesPerToken - 1) / kBytesPerToken;
  submission.prompt_tokens = Tokens(is_service ? 0 : static_cast<std::int64_t>(tokens));
  const std::uint64_t pool_hash = StableHash(submission.pool.Text() + "\n");
  const std::string_view prompt = submission.prompt;
  submission.prefix = Fingerprint(StableHash(prompt.substr(0, kPrefixBytes), pool_hash));
  submission.content = Fingerprint(StableHash(prompt, pool_hash));
  return submission;
}

}  // namespace bluebellpass
