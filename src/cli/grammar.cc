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

/// The words of a command as they are read. Later words overwrite those of abandoned alternatives.
struct Draft {
  std::string name;
  std::string from;
  std::string to;
  std::string version;
  std::string field;
  std::vector<Condition> where;
  std::optional<Command> command;
};

/// A whole keyword: "showing" is not "show".
auto Keyword(const char* word) { return x3::omit[x3::lexeme[x3::lit(word) >> !kNameCharacter]]; }

/// Requires a parser to match, and notes what is expected for the message if it does not.
template <class Parser>
auto Expect(Fault& fault, const char* what, Parser parser) {
  const auto note = [&fault, what](auto& /*context*/) { fault.expected = what; };
  return x3::eps[note] > x3::as_parser(parser);
}

/// A word whose text is given to a function; the word does not match when that returns false.
template <class Characters, class Function>
auto Word(Characters characters, Function function) {
  const auto take = [function](auto& context) {
    const auto range = x3::_attr(context);
    x3::_pass(context) = function(std::string(range.begin(), range.end()));
  };
  return x3::raw[x3::lexeme[+characters]][take];
}

/// A name that is copied to `target`.
auto Name(Fault& fault, const char* what, std::string& target) {
  return Expect(fault, what, Word(kNameCharacter, [&target](std::string text) {
                  target = std::move(text);
                  return target.size() <= kMaxNameLength;
                }));
}

template <class Number>
bool ReadNumber(const std::string& text, Number& number) {
  const char* end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, number);
  return code == std::errc{} && stop == end;
}

/// A number without sign or exponent; `use` makes the command of it, or refuses it.
template <class Number, class Function>
auto NumberWord(Fault& fault, const char* what, Function use) {
  return Expect(fault, what, Word(kValueCharacter, [use](const std::string& text) {
                  Number number{};
                  return ReadNumber(text, number) && use(number);
                }));
}

/// Sets the command; for use at the end of an alternative.
template <class Function>
auto Make(Draft& draft, Function function) {
  return x3::eps[([&draft, function](auto& /*context*/) { draft.command = function(); })];
}

auto Topics() {
  x3::symbols<ShowTopic> topics;
  for (int i = 0; i <= static_cast<int>(ShowTopic::kQuarantine); ++i) {
    const auto topic = static_cast<ShowTopic>(i);
    topics.add(std::string(ShowTopicName(topic)), topic);
  }
  return topics;
}

auto Conditions(Fault& fault, Draft& draft) {
  const auto add = [&draft](std::string text) {
    draft.where.push_back({draft.field, std::move(text)});
    return true;
  };
  const auto add_quoted = [add](auto& context) {
    const auto range = x3::_attr(context);
    add(std::string(range.begin(), range.end()));
  };
  const auto quoted = x3::lexeme['"' >> x3::raw[*(x3::char_ - '"')][add_quoted] >> '"'];
  const auto value = Expect(fault, "a value", Word(kValueCharacter, add) | quoted);
  const auto condition =
      Name(fault, "a field's name", draft.field) >> Expect(fault, "'='", x3::lit('=')) >> value;
  return Keyword("where") >> condition >> *(Keyword("and") >> condition);
}

auto Show(Fault& fault, Draft& draft) {
  const auto take = [&draft](auto& context) {
    draft.command = ShowCommand{.topic = x3::_attr(context)};
  };
  const auto finish = Make(draft, [&draft]() -> Command {
    return ShowCommand{std::get<ShowCommand>(*draft.command).topic, draft.where};
  });
  return Keyword("show") >>
         Expect(fault, "waiting, running, refused, backends, instances, config or quarantine",
                x3::lexeme[Topics()[take] >> !kNameCharacter]) >>
         -Conditions(fault, draft) >> finish;
}

auto Set(Fault& fault, Draft& draft) {
  const auto set_rank = [&draft](std::uint32_t rank) {
    draft.command = SetTierRankCommand{TierName(draft.name), TierRank(rank)};
    return true;
  };
  const auto set_share = [&draft](double share) {
    draft.command = SetTierShareCommand{TierName(draft.name), share};
    return share >= 0 && share <= 1;
  };
  const auto set_weight = [&draft](double weight) {
    draft.command = SetOrganisationWeightCommand{OrganisationId(draft.name), weight};
    return std::isfinite(weight) && weight > 0;
  };
  const auto rank =
      Keyword("rank") >> NumberWord<std::uint32_t>(fault, "a whole number from 0", set_rank);
  const auto share =
      Keyword("share") >> NumberWord<double>(fault, "a number from 0 to 0.9", set_share);
  const auto tier = Keyword("tier") >> Name(fault, "a tier's name", draft.name) >>
                    Expect(fault, "rank or share", rank | share);
  const auto organisation = Keyword("organisation") >>
                            Name(fault, "an organisation's name", draft.name) >>
                            Expect(fault, "weight", Keyword("weight")) >>
                            NumberWord<double>(fault, "a number above 0", set_weight);
  return Keyword("set") >> Expect(fault, "tier or organisation", tier | organisation);
}

auto Backend(Fault& fault, Draft& draft) {
  return Expect(fault, "backend", Keyword("backend")) >>
         Name(fault, "a backend server's name", draft.name);
}

auto DrainOrActivate(Fault& fault, Draft& draft) {
  const auto drain = Keyword("drain") >> Backend(fault, draft) >>
                     Make(draft, [&draft] { return DrainBackendCommand{BackendId(draft.name)}; });
  const auto activate = Keyword("activate") >> Backend(fault, draft) >> Make(draft, [&draft] {
                          return ActivateBackendCommand{BackendId(draft.name)};
                        });
  return drain | activate;
}

auto Shift(Fault& fault, Draft& draft) {
  const auto make = [&draft](std::uint32_t percent) {
    draft.command = ShiftPoolCommand{PoolName(draft.name), DataCentre(draft.from),
                                     DataCentre(draft.to), percent};
    return percent <= kMaxPercent;
  };
  return Keyword("shift") >> Expect(fault, "pool", Keyword("pool")) >>
         Name(fault, "a pool's name", draft.name) >> Expect(fault, "from", Keyword("from")) >>
         Name(fault, "a data centre's name", draft.from) >> Expect(fault, "to", Keyword("to")) >>
         Name(fault, "a data centre's name", draft.to) >>
         Expect(fault, "percent", Keyword("percent")) >>
         NumberWord<std::uint32_t>(fault, "a whole number from 0 to 100", make);
}

auto Release(Fault& fault, Draft& draft) {
  const auto make = [&draft](const std::string& text) {
    std::uint64_t content = 0;
    const char* end = text.data() + text.size();
    const auto [stop, code] = std::from_chars(text.data(), end, content, kHexBase);
    draft.command = ReleaseCommand{Fingerprint(content)};
    return code == std::errc{} && stop == end && text.size() <= kMaxHexDigits;
  };
  return Keyword("release") >>
         Expect(fault, "a fingerprint of up to 16 hexadecimal digits", Word(kNameCharacter, make));
}

auto Load(Fault& fault, Draft& draft) {
  return Keyword("load") >> Backend(fault, draft) >> Expect(fault, "model", Keyword("model")) >>
         Name(fault, "a model's name", draft.field) >>
         -(Keyword("version") >> Expect(fault, "a version",
                                        Word(kValueCharacter,
                                             [&draft](std::string text) {
                                               draft.version = std::move(text);
                                               return draft.version.size() <= kMaxNameLength;
                                             }))) >>
         Make(draft, [&draft] {
           return LoadCommand{BackendId(draft.name), draft.field, draft.version};
         });
}

}  // namespace

std::optional<Command> ParseGrammar(std::string_view text, Fault& fault) {
  Draft draft;
  const auto commands = Show(fault, draft) | Set(fault, draft) | DrainOrActivate(fault, draft) |
                        Shift(fault, draft) | Release(fault, draft) | Load(fault, draft);
  const auto grammar =
      Expect(fault, "show, set, drain, activate, shift, release or load", commands) >>
      Expect(fault, "the end of the command", x3::eoi);
  const char* position = text.data();
  const char* const end = position + text.size();
  try {
    if (x3::phrase_parse(position, end, grammar, x3::ascii::space)) return draft.command;
  } catch (const x3::expectation_failure<const char*>& failure) {
    position = failure.where();
  }
  fault.position = static_cast<std::size_t>(position - text.data());
  return std::nullopt;
}

}  // namespace bluebellpass::detail
