#include "cli/grammar.h"

#include <algorithm>
#include <boost/spirit/home/x3.hpp>
#include <charconv>
#include <cmath>

#include "config/address.h"

namespace bluebellpass::detail {
namespace {

namespace x3 = boost::spirit::x3;

constexpr int kHexBase = 16;
constexpr std::size_t kMaxHexDigits = 16;
constexpr std::uint32_t kMaxPercent = 100;

const auto kNameCharacter = x3::char_("a-zA-Z0-9_") | x3::char_('-');
const auto kValueCharacter = kNameCharacter | x3::char_(".:/+");

/// The words read so far and the command made of them. Words of an alternative that did not match
/// are overwritten by the next alternative.
struct ParseState {
  std::string name;
  std::string from;
  std::string to;
  std::string version;
  std::string field_or_model;  ///< field of a condition, or model of `load`
  std::vector<Condition> conditions;
  std::optional<Command> command;
};

/// Matches a complete word: the keyword "show" does not match "showing".
auto Keyword(const char* word) { return x3::omit[x3::lexeme[x3::lit(word) >> !kNameCharacter]]; }

/// Requires a parser to match. Records what is expected, for the error message.
template <class Parser>
auto Expect(SyntaxError& error, const char* expected, Parser parser) {
  const auto set_expected = [&error, expected](auto& /*context*/) { error.expected = expected; };
  return x3::eps[set_expected] > x3::as_parser(parser);
}

/// Matches a word if a function returns true for its text.
template <class Characters, class Function>
auto Word(Characters characters, Function function) {
  const auto on_match = [function](auto& context) {
    const auto range = x3::_attr(context);
    x3::_pass(context) = function(std::string(range.begin(), range.end()));
  };
  return x3::raw[x3::lexeme[+characters]][on_match];
}

/// Matches a name and copies it to `target`.
auto Name(SyntaxError& error, const char* expected, std::string& target) {
  return Expect(error, expected, Word(kNameCharacter, [&target](std::string text) {
                  target = std::move(text);
                  return target.size() <= kMaxNameLength;
                }));
}

template <class Number>
bool ParseNumber(const std::string& text, Number& number) {
  const char* end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, number);
  return code == std::errc{} && stop == end;
}

/// Matches a number. The function `accept` creates the command with it, and returns false if the
/// number is out of range.
template <class Number, class Function>
auto NumberWord(SyntaxError& error, const char* expected, Function accept) {
  return Expect(error, expected, Word(kValueCharacter, [accept](const std::string& text) {
                  Number number{};
                  return ParseNumber(text, number) && accept(number);
                }));
}

/// Sets the command without matching any text. For the end of an alternative.
template <class Function>
auto SetCommand(ParseState& state, Function function) {
  return x3::eps[([&state, function](auto& /*context*/) { state.command = function(); })];
}

auto TopicSymbols() {
  x3::symbols<ShowTopic> topics;
  for (int i = 0; i <= static_cast<int>(ShowTopic::kRollouts); ++i) {
    const auto topic = static_cast<ShowTopic>(i);
    topics.add(std::string(ShowTopicName(topic)), topic);
  }
  return topics;
}

auto ConditionsGrammar(SyntaxError& error, ParseState& state) {
  const auto add_condition = [&state](std::string text) {
    state.conditions.push_back({state.field_or_model, std::move(text)});
    return true;
  };
  const auto add_quoted_condition = [add_condition](auto& context) {
    const auto range = x3::_attr(context);
    add_condition(std::string(range.begin(), range.end()));
  };
  const auto quoted = x3::lexeme['"' >> x3::raw[*(x3::char_ - '"')][add_quoted_condition] >> '"'];
  const auto value = Expect(error, "a value", Word(kValueCharacter, add_condition) | quoted);
  const auto condition = Name(error, "a field's name", state.field_or_model) >>
                         Expect(error, "'='", x3::lit('=')) >> value;
  return Keyword("where") >> condition >> *(Keyword("and") >> condition);
}

auto ShowGrammar(SyntaxError& error, ParseState& state) {
  const auto set_topic = [&state](auto& context) {
    state.command = ShowCommand{.topic = x3::_attr(context)};
  };
  const auto set_command = SetCommand(state, [&state]() -> Command {
    return ShowCommand{std::get<ShowCommand>(*state.command).topic, state.conditions};
  });
  return Keyword("show") >>
         Expect(error,
                "waiting, running, refused, backends, instances, config, quarantine or rollouts",
                x3::lexeme[TopicSymbols()[set_topic] >> !kNameCharacter]) >>
         -ConditionsGrammar(error, state) >> set_command;
}

auto SetGrammar(SyntaxError& error, ParseState& state) {
  const auto set_rank = [&state](std::uint32_t rank) {
    state.command = SetTierRankCommand{TierName(state.name), TierRank(rank)};
    return true;
  };
  const auto set_share = [&state](double share) {
    state.command = SetTierShareCommand{TierName(state.name), share};
    return share >= 0 && share <= 1;
  };
  const auto set_weight = [&state](double weight) {
    state.command = SetOrganisationWeightCommand{OrganisationId(state.name), weight};
    return std::isfinite(weight) && weight > 0;
  };
  const auto rank =
      Keyword("rank") >> NumberWord<std::uint32_t>(error, "a whole number from 0", set_rank);
  const auto share =
      Keyword("share") >> NumberWord<double>(error, "a number from 0 to 0.9", set_share);
  const auto tier = Keyword("tier") >> Name(error, "a tier's name", state.name) >>
                    Expect(error, "rank or share", rank | share);
  const auto organisation = Keyword("organisation") >>
                            Name(error, "an organisation's name", state.name) >>
                            Expect(error, "weight", Keyword("weight")) >>
                            NumberWord<double>(error, "a number above 0", set_weight);
  return Keyword("set") >> Expect(error, "tier or organisation", tier | organisation);
}

auto BackendGrammar(SyntaxError& error, ParseState& state) {
  return Expect(error, "backend", Keyword("backend")) >>
         Name(error, "a backend server's name", state.name);
}

auto DrainOrActivateGrammar(SyntaxError& error, ParseState& state) {
  const auto drain =
      Keyword("drain") >> BackendGrammar(error, state) >>
      SetCommand(state, [&state] { return DrainBackendCommand{BackendId(state.name)}; });
  const auto activate =
      Keyword("activate") >> BackendGrammar(error, state) >>
      SetCommand(state, [&state] { return ActivateBackendCommand{BackendId(state.name)}; });
  return drain | activate;
}

auto ShiftGrammar(SyntaxError& error, ParseState& state) {
  const auto set_command = [&state](std::uint32_t percent) {
    state.command = ShiftPoolCommand{PoolName(state.name), DataCentre(state.from),
                                     DataCentre(state.to), percent};
    return percent <= kMaxPercent;
  };
  return Keyword("shift") >> Expect(error, "pool", Keyword("pool")) >>
         Name(error, "a pool's name", state.name) >> Expect(error, "from", Keyword("from")) >>
         Name(error, "a data centre's name", state.from) >> Expect(error, "to", Keyword("to")) >>
         Name(error, "a data centre's name", state.to) >>
         Expect(error, "percent", Keyword("percent")) >>
         NumberWord<std::uint32_t>(error, "a whole number from 0 to 100", set_command);
}

auto ReleaseGrammar(SyntaxError& error, ParseState& state) {
  const auto set_command = [&state](const std::string& text) {
    std::uint64_t content = 0;
    const char* end = text.data() + text.size();
    const auto [stop, code] = std::from_chars(text.data(), end, content, kHexBase);
    state.command = ReleaseCommand{Fingerprint(content)};
    return code == std::errc{} && stop == end && text.size() <= kMaxHexDigits;
  };
  return Keyword("release") >> Expect(error, "a fingerprint of up to 16 hexadecimal digits",
                                      Word(kNameCharacter, set_command));
}

auto LoadGrammar(SyntaxError& error, ParseState& state) {
  return Keyword("load") >> BackendGrammar(error, state) >>
         Expect(error, "model", Keyword("model")) >>
         Name(error, "a model's name", state.field_or_model) >>
         -(Keyword("version") >> Expect(error, "a version",
                                        Word(kValueCharacter,
                                             [&state](std::string text) {
                                               state.version = std::move(text);
                                               return state.version.size() <= kMaxNameLength;
                                             }))) >>
         SetCommand(state, [&state] {
           return LoadCommand{BackendId(state.name), state.field_or_model, state.version};
         });
}

}  // namespace

std::optional<Command> ParseGrammar(std::string_view text, SyntaxError& error) {
  ParseState state;
  const auto commands = ShowGrammar(error, state) | SetGrammar(error, state) |
                        DrainOrActivateGrammar(error, state) | ShiftGrammar(error, state) |
                        ReleaseGrammar(error, state) | LoadGrammar(error, state);
  const auto grammar =
      Expect(error, "show, set, drain, activate, shift, release or load", commands) >>
      Expect(error, "the end of the command", x3::eoi);
  const char* position = text.data();
  const char* const end = position + text.size();
  try {
    if (x3::phrase_parse(position, end, grammar, x3::ascii::space)) return state.command;
  } catch (const x3::expectation_failure<const char*>& failure) {
    position = failure.where();
  }
  error.position = static_cast<std::size_t>(position - text.data());
  return std::nullopt;
}

}  // namespace bluebellpass::detail
